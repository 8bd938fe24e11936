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
  const auto [it, is_first] =
      mean_place_seconds_.try_emplace(request.priority, seconds);
  if (!is_first) {
    it->second += (seconds - it->second) * kMeanWeight;
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
  const auto mean = mean_place_seconds_.find(request.priority);
  return mean == mean_place_seconds_.end() || mean->second <= 0
             ? 1
             : PlaceSeconds(request) / mean->second;
}

}  // namespace flamingogauge
