#include "libs/dispatching/prior_wait_estimator.h"

#include <algorithm>

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

// The estimate is capped and decays, because a single caller with a very long
// wait limit must not make the requests of all others look like late retries.
constexpr int kMaxTimeouts = 4;
constexpr int kDecayDivisor = 20;

milliseconds Stated(milliseconds wait_limit, milliseconds timeout) {
  return std::min(wait_limit, timeout * kMaxTimeouts);
}

}  // namespace

milliseconds PriorWaitEstimator::InitialWaitLimit(const std::string& route,
                                                  milliseconds stated) const {
  const auto it = initial_wait_limit_.find(route);
  milliseconds initial =
      it == initial_wait_limit_.end() ? milliseconds(0) : it->second;
  initial -= std::max(milliseconds(0), initial - stated) / kDecayDivisor;
  return std::max(initial, stated);
}

milliseconds PriorWaitEstimator::EstimatePriorWait(const std::string& route,
                                                   milliseconds wait_limit,
                                                   milliseconds timeout) const {
  const milliseconds stated = Stated(wait_limit, timeout);
  return InitialWaitLimit(route, stated) - stated;
}

void PriorWaitEstimator::Record(const std::string& route,
                                milliseconds wait_limit,
                                milliseconds timeout) {
  initial_wait_limit_[route] =
      InitialWaitLimit(route, Stated(wait_limit, timeout));
}

}  // namespace flamingogauge
