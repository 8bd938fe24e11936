#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_DRAIN_POLICY_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_DRAIN_POLICY_H_

#include <chrono>

namespace flamingogauge {

// Decides which new requests a host accepts while it shuts down.
struct DrainPolicy {
  // All requests are accepted for this long after the signal, because load
  // balancers have not noticed the shutdown yet. Later ones are accepted only
  // if they will end before `time_limit`.
  std::chrono::milliseconds accept_all_for{2500};
  // The process exits this long after the signal, even with requests in
  // progress.
  std::chrono::milliseconds time_limit{6800};

  // `elapsed` is the time since the signal; `timeout` is the maximum duration
  // of the request.
  bool Accepts(std::chrono::nanoseconds elapsed,
               std::chrono::milliseconds timeout) const {
    return elapsed < accept_all_for || elapsed + timeout < time_limit;
  }
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_DRAIN_POLICY_H_
