#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_PLACEMENT_COST_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_PLACEMENT_COST_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libs/dispatching/upstream_view.h"
#include "libs/dispatching/waiting_request.h"
#include "libs/kernel/random.h"
#include "libs/kernel/time.h"

namespace flamingogauge {

struct PlacementCostOptions {
  // The data centre of the deciding host.
  std::string data_centre;
  // The region of each data centre.
  std::map<std::string, std::string> regions;
  // Average number of output tokens per stream event.
  double tokens_per_event = 6;
  std::uint64_t seed = 1;
};

// The mean event interval of the upstreams that have a measurement, in seconds;
// 0 if there is none.
double MeanEventInterval(const std::vector<UpstreamView*>& upstreams);

// What a placement is expected to cost, in seconds.
struct PlacementCostParts {
  // Until the first event: the prompts before it, its own, and one event.
  double start = 0;
  // Delay by the requests that run there, and of them.
  double load = 0;
  double output = 0;
  // Traffic to another data centre or region.
  double distance = 0;
  double failures = 0;

  double Total() const { return start + load + output + distance + failures; }
};

// Compares the upstreams that a request may go to by where it is expected to
// end first, at the least cost for others.
class PlacementCost {
 public:
  explicit PlacementCost(PlacementCostOptions options);

  // Replaces the region of each data centre.
  void SetRegions(std::map<std::string, std::string> regions) {
    options_.regions = std::move(regions);
  }

  // Sets whether coordinators of other data centres see the same free places
  // there. Then a part of these is left to them.
  void SetSharesPlaces(bool shares_places) { shares_places_ = shares_places; }

  // Returns the cheapest of the upstreams that have a free place, or null.
  UpstreamView* ChooseAmong(const std::vector<UpstreamView*>& upstreams,
                            const WaitingRequest& request,
                            MonotonicTime now);
  // `mean_event_interval` is the mean over the candidate upstreams, in seconds.
  PlacementCostParts Cost(const UpstreamView& upstream,
                          const WaitingRequest& request,
                          double mean_event_interval,
                          MonotonicTime now) const;
  // True if the upstream has a place for one more request of this host.
  bool HasPlace(const UpstreamView& upstream, MonotonicTime now) const;

 private:
  double DistanceCost(const UpstreamEntry& upstream) const;
  // Expected duration of the output on `upstream`, in seconds, from the
  // caller's estimate of its length.
  double OutputSeconds(const UpstreamView& upstream,
                       const WaitingRequest& request,
                       double mean_event_interval) const;

  PlacementCostOptions options_;
  Random random_;
  bool shares_places_ = false;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_PLACEMENT_COST_H_
