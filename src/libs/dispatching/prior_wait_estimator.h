#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_PRIOR_WAIT_ESTIMATOR_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_PRIOR_WAIT_ESTIMATOR_H_

#include <chrono>
#include <string>
#include <unordered_map>

namespace flamingogauge {

// Estimates how long the caller of a request has already waited in earlier
// attempts. Under overload, refused callers retry: their target latency counts
// from the original attempt, and they state a shorter wait limit than callers
// that make their original attempt.
class PriorWaitEstimator {
 public:
  // `wait_limit` is the caller's stated wait limit; `timeout` is the timeout of
  // the route.
  std::chrono::milliseconds EstimatePriorWait(
      const std::string& route,
      std::chrono::milliseconds wait_limit,
      std::chrono::milliseconds timeout);

 private:
  // The wait limit that callers of each route state in their original attempt.
  std::unordered_map<std::string, std::chrono::milliseconds>
      initial_wait_limit_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_PRIOR_WAIT_ESTIMATOR_H_
