#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_PRIOR_WAIT_ESTIMATOR_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_PRIOR_WAIT_ESTIMATOR_H_

#include <chrono>
#include <string>
#include <unordered_map>

namespace flamingogauge {

// Tells how long the caller of a request has waited before, in earlier
// attempts. Answers overload, in which refused callers come back: their latency
// target counts from the first attempt, and they state that they wait for less
// than callers that ask for the first time.
class PriorWaitEstimator {
 public:
  // `patience` is the time that the caller states to wait; `timeout` that of
  // the route.
  std::chrono::milliseconds EstimatePriorWait(
      const std::string& route,
      std::chrono::milliseconds patience,
      std::chrono::milliseconds timeout);

 private:
  // What callers of each route state when they ask for the first time.
  std::unordered_map<std::string, std::chrono::milliseconds> first_patience_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_PRIOR_WAIT_ESTIMATOR_H_
