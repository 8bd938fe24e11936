#include "libs/dispatching/placement_cost.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace flamingogauge {
namespace {

// Prefill rate of an average engine, in prompt tokens per second.
constexpr double kPrefillTokensPerSecond = 55000;
// Cost of the traffic to another data centre or region, expressed in seconds of
// waiting time.
constexpr double kOtherDataCentreCost = 0.03;
constexpr double kOtherRegionCost = 0.08;
// Cost of a fully loaded upstream, in seconds.
constexpr double kLoadCost = 0.1;
// Cost of an upstream that fails every request, in seconds.
constexpr double kFailureCost = 1.0;
// Random cost in seconds that keeps hosts that see the same load from all
// choosing the same upstream.
constexpr double kJitter = 0.01;
// Cost of each second of expected output; steers long outputs to fast
// upstreams.
constexpr double kOutputCost = 0.08;
// For each of its requests that are on their way to an upstream of another data
// centre, a host leaves so many places there to others.
constexpr double kOthersShare = 2;

}  // namespace

double MeanEventInterval(const std::vector<UpstreamView*>& upstreams) {
  double sum = 0;
  int count = 0;
  for (const UpstreamView* it : upstreams) {
    if (it->event_interval_seconds() > 0) {
      sum += it->event_interval_seconds();
      ++count;
    }
  }
  return count == 0 ? 0 : sum / count;
}

PlacementCost::PlacementCost(PlacementCostOptions options)
    : options_(std::move(options)), random_(options_.seed) {}

UpstreamView* PlacementCost::ChooseAmong(
    const std::vector<UpstreamView*>& upstreams,
    const WaitingRequest& request,
    MonotonicTime now) {
  const double mean_event_interval = MeanEventInterval(upstreams);
  UpstreamView* best = nullptr;
  double best_cost = std::numeric_limits<double>::infinity();
  for (UpstreamView* it : upstreams) {
    if (!HasPlace(*it, now)) {
      continue;
    }
    const double cost = Cost(*it, request, mean_event_interval, now).Total() +
                        random_.NextDouble() * kJitter;
    if (cost < best_cost) {
      best_cost = cost;
      best = it;
    }
  }
  return best;
}

bool PlacementCost::HasPlace(const UpstreamView& upstream,
                             MonotonicTime now) const {
  if (!upstream.HasPlace(now)) {
    return false;
  }
  if (!shares_places_ || upstream.entry().data_centre == options_.data_centre) {
    return true;
  }
  const int free = upstream.Limit(now) - upstream.running();
  return upstream.RecentSends(now) * kOthersShare < free;
}

PlacementCostParts PlacementCost::Cost(const UpstreamView& upstream,
                                       const WaitingRequest& request,
                                       double mean_event_interval,
                                       MonotonicTime now) const {
  const double slowness =
      mean_event_interval > 0 && upstream.event_interval_seconds() > 0
          ? upstream.event_interval_seconds() / mean_event_interval
          : 1.0;
  const double cached = upstream.CachedTokens(request, now);
  const double prefill =
      std::max(0.0, request.prompt_tokens - cached) / kPrefillTokensPerSecond;
  const double load =
      static_cast<double>(upstream.running()) / upstream.entry().slots;
  const double backlog = ToSeconds(upstream.PrefillBacklog(now));
  return {.start = backlog + slowness * (prefill + mean_event_interval),
          .load = slowness * load * kLoadCost,
          .output = OutputSeconds(upstream, request, mean_event_interval) *
                    kOutputCost,
          .distance = DistanceCost(upstream.entry()),
          .failures = upstream.FailureShare(now) * kFailureCost};
}

double PlacementCost::OutputSeconds(const UpstreamView& upstream,
                                    const WaitingRequest& request,
                                    double mean_event_interval) const {
  const double event_interval = upstream.event_interval_seconds() > 0
                                    ? upstream.event_interval_seconds()
                                    : mean_event_interval;
  return request.expected_output_tokens / options_.tokens_per_event *
         event_interval;
}

double PlacementCost::DistanceCost(const UpstreamEntry& upstream) const {
  if (upstream.data_centre == options_.data_centre) {
    return 0;
  }
  const auto own = options_.regions.find(options_.data_centre);
  const auto other = options_.regions.find(upstream.data_centre);
  const bool same_region = own != options_.regions.end() &&
                           other != options_.regions.end() &&
                           own->second == other->second;
  return same_region ? kOtherDataCentreCost : kOtherRegionCost;
}

}  // namespace flamingogauge
