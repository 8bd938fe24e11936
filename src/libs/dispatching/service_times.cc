#include "libs/dispatching/service_times.h"

#include <algorithm>
#include <chrono>

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kUpdateInterval{100};
// The event interval of an engine of which nothing is known.
constexpr double kDefaultEventSeconds = 0.05;
constexpr double kDefaultFirstEventSeconds = 0.15;
// Prefill rate of an average engine beside other requests.
constexpr double kPrefillTokensPerSecond = 55000;
// The part of a request's worth that does not depend on its size, and the size
// beyond which its worth does not grow.
constexpr double kFixedWorth = 0.3;
constexpr double kMaxSize = 4;
// Weight of the newest request in the mean.
constexpr double kMeanWeight = 0.01;

}  // namespace

void ServiceTimes::Update(const std::vector<UpstreamView*>& upstreams,
                          MonotonicTime now) {
  if (now - updated_at_ < kUpdateInterval) {
    return;
  }
  updated_at_ = now;
  double sum = 0;
  int count = 0;
  for (const UpstreamView* it : upstreams) {
    if (it->event_interval_seconds() > 0) {
      sum += it->event_interval_seconds();
      ++count;
    }
  }
  event_interval_seconds_ = count == 0 ? 0 : sum / count;
}

void ServiceTimes::OnArrived(const WaitingRequest& request) {
  const double seconds = PlaceSeconds(request);
  const auto [it, is_first] = means_.try_emplace(
      request.priority,
      Means{.place_seconds = seconds, .prompt_tokens = request.prompt_tokens});
  if (!is_first) {
    Means& means = it->second;
    means.place_seconds += (seconds - means.place_seconds) * kMeanWeight;
    means.prompt_tokens +=
        (request.prompt_tokens - means.prompt_tokens) * kMeanWeight;
  }
}

double ServiceTimes::PlaceSeconds(const WaitingRequest& request) const {
  const double interval = event_interval_seconds_ > 0 ? event_interval_seconds_
                                                      : kDefaultEventSeconds;
  return ToSeconds(FirstEventTime(request)) +
         request.expected_output_tokens / tokens_per_event_ * interval;
}

Duration ServiceTimes::FirstEventTime(const WaitingRequest& request) const {
  const double first_event = event_interval_seconds_ > 0
                                 ? event_interval_seconds_
                                 : kDefaultFirstEventSeconds;
  const std::chrono::duration<double> seconds(
      first_event + request.prompt_tokens / kPrefillTokensPerSecond);
  return std::chrono::duration_cast<Duration>(seconds);
}

Duration ServiceTimes::MeasuredFirstEventTime(
    const WaitingRequest& request) const {
  return event_interval_seconds_ > 0 ? FirstEventTime(request)
                                     : Duration::zero();
}

double ServiceTimes::RelativeCost(const WaitingRequest& request) const {
  const auto means = means_.find(request.priority);
  if (means == means_.end() || means->second.place_seconds <= 0) {
    return 1;
  }
  const double size = means->second.prompt_tokens > 0
                          ? request.prompt_tokens / means->second.prompt_tokens
                          : 1;
  const double worth =
      kFixedWorth + (1 - kFixedWorth) * std::min(size, kMaxSize);
  return PlaceSeconds(request) / means->second.place_seconds / worth;
}

}  // namespace flamingogauge
