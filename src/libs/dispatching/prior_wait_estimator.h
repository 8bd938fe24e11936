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
  // How long a caller that states `wait_limit` has waited; `timeout` is that of
  // the route.
  std::chrono::milliseconds EstimatePriorWait(
      const std::string& route,
      std::chrono::milliseconds wait_limit,
      std::chrono::milliseconds timeout) const;
  // Takes the wait limit of a request into account for later ones.
  void Record(const std::string& route,
              std::chrono::milliseconds wait_limit,
              std::chrono::milliseconds timeout);

 private:
  // The limit stated in original attempts, with that of one more request.
  std::chrono::milliseconds InitialWaitLimit(
      const std::string& route,
      std::chrono::milliseconds stated) const;

  // The wait limit that callers of each route state in their original attempt.
  std::unordered_map<std::string, std::chrono::milliseconds>
      initial_wait_limit_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_PRIOR_WAIT_ESTIMATOR_H_
