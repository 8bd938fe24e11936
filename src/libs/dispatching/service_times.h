#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_SERVICE_TIMES_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_SERVICE_TIMES_H_

#include <map>
#include <vector>

#include "libs/dispatching/upstream_view.h"
#include "libs/dispatching/waiting_request.h"
#include "libs/kernel/time.h"

namespace flamingogauge {

// Estimates how long a request takes on an upstream of its service, from its
// prompt, the caller's estimate of its output and the learned event intervals.
//
// Load pattern: outputs that differ a hundredfold, so that a tenth of the
// requests holds more than half of the places.
class ServiceTimes {
 public:
  explicit ServiceTimes(double tokens_per_event)
      : tokens_per_event_(tokens_per_event) {}

  // Reads the event intervals of the service's upstreams.
  void Update(const std::vector<UpstreamView*>& upstreams, MonotonicTime now);
  // Counts a request towards the mean of its priority.
  void OnArrived(const WaitingRequest& request);

  // Expected time from the placement to the first event.
  Duration FirstEventTime(const WaitingRequest& request) const;
  // The same if the service's event intervals were measured; 0 otherwise.
  Duration MeasuredFirstEventTime(const WaitingRequest& request) const;
  // The expected time for which the request holds its place, divided by the
  // mean of its priority.
  double RelativeCost(const WaitingRequest& request) const;

 private:
  double PlaceSeconds(const WaitingRequest& request) const;

  double tokens_per_event_ = 1;
  // 0 until one was measured.
  double event_interval_seconds_ = 0;
  MonotonicTime updated_at_;
  // Exponentially weighted moving average of PlaceSeconds(), by priority.
  std::map<int, double> mean_place_seconds_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_SERVICE_TIMES_H_
