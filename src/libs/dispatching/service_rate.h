#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_SERVICE_RATE_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_SERVICE_RATE_H_

#include <deque>
#include <map>

#include "libs/kernel/time.h"

namespace flamingogauge {

// The rates of a service at one moment, in requests per second.
struct ServiceRates {
  // Requests that can be placed; at least 1.
  double total = 1;
  // Requests that were placed while they could still be on time, by priority.
  std::map<int, double> placed_on_time;

  // The part of `total` that is left for requests of `priority` once the more
  // urgent ones are placed; for late ones, once all that can still be on time
  // are placed. At least 1.
  double LeftFor(int priority, bool is_late) const;
};

// Measures how many requests of a service can be placed per second: as many as
// lately, in proportion to the places of the upstreams that can be used now,
// and at least as many as those take that state a limit on the rate.
//
// Load pattern: a part of the upstreams falls silent during a burst. What was
// placed before admits more than the remaining ones can serve.
class ServiceRate {
 public:
  // Sets how many requests the usable upstreams run at once.
  void SetPlaces(int places) { places_ = places; }
  // Sets how many requests per second those upstreams take that limit the rate.
  void SetLimitedRate(double per_second) { limited_rate_ = per_second; }
  // `is_on_time` tells whether the response was still expected in time.
  void OnPlaced(int priority, bool is_on_time, MonotonicTime now);

  ServiceRates Measure(MonotonicTime now) const;

 private:
  struct Placed {
    MonotonicTime at;
    int priority = 0;
    bool is_on_time = true;
    // The number of places at that time.
    int places = 0;
  };

  int places_ = 0;
  double limited_rate_ = 0;
  std::deque<Placed> placed_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_SERVICE_RATE_H_
