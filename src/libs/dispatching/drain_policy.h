#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_DRAIN_POLICY_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_DRAIN_POLICY_H_

#include <chrono>

namespace flamingogauge {

// How a host that stops treats requests that still arrive.
struct DrainPolicy {
  // Until this long after the signal, each request is taken: balancers have not
  // noticed yet. Later ones are taken only if they will end in time.
  std::chrono::milliseconds accept_all_for{2500};
  // The host ends this long after the signal, whatever is in progress.
  std::chrono::milliseconds time_limit{6800};

  // `elapsed` counts from the signal; `timeout` is the longest time that the
  // request may take.
  bool Accepts(std::chrono::nanoseconds elapsed,
               std::chrono::milliseconds timeout) const {
    return elapsed < accept_all_for || elapsed + timeout < time_limit;
  }
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_DRAIN_POLICY_H_
