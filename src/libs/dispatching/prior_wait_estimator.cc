#include "libs/dispatching/prior_wait_estimator.h"

#include <algorithm>

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

// A single caller that states to wait for very long must not make all others
// look late, so that the estimate has a bound and falls again.
constexpr int kMaxTimeouts = 4;
constexpr int kFallDivisor = 20;

}  // namespace

milliseconds PriorWaitEstimator::EstimatePriorWait(const std::string& route,
                                                   milliseconds patience,
                                                   milliseconds timeout) {
  const milliseconds stated = std::min(patience, timeout * kMaxTimeouts);
  milliseconds& first = first_patience_[route];
  first -= std::max(milliseconds(0), first - stated) / kFallDivisor;
  first = std::max(first, stated);
  return first - stated;
}

}  // namespace flamingogauge
