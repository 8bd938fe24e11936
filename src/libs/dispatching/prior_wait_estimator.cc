#include "libs/dispatching/prior_wait_estimator.h"

#include <algorithm>

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

// The estimate is capped and decays, because a single caller with a very long
// wait limit must not make the requests of all others look like late retries.
constexpr int kMaxTimeouts = 4;
constexpr int kDecayDivisor = 20;

}  // namespace

milliseconds PriorWaitEstimator::EstimatePriorWait(const std::string& route,
                                                   milliseconds wait_limit,
                                                   milliseconds timeout) {
  const milliseconds stated = std::min(wait_limit, timeout * kMaxTimeouts);
  milliseconds& initial = initial_wait_limit_[route];
  initial -= std::max(milliseconds(0), initial - stated) / kDecayDivisor;
  initial = std::max(initial, stated);
  return initial - stated;
}

}  // namespace flamingogauge
