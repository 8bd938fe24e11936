#include "libs/dispatching/urgent_reserve.h"

#include <cmath>

namespace flamingogauge {
namespace {

// Time constant of the decay of past demand.
constexpr double kMemorySeconds = 3;
// Demand that has decayed below this is forgotten.
constexpr double kNegligible = 0.01;

}  // namespace

double UrgentReserve::DecayUntil(MonotonicTime now) const {
  return std::exp(-ToSeconds(now - updated_at_) / kMemorySeconds);
}

void UrgentReserve::OnDemand(int priority, double amount, MonotonicTime now) {
  const double decay = DecayUntil(now);
  for (auto& [other, demand] : demand_) {
    demand *= decay;
  }
  updated_at_ = now;
  demand_[priority] += amount;
  std::erase_if(demand_,
                [](const auto& it) { return it.second < kNegligible; });
}

double UrgentReserve::PartFor(int priority, MonotonicTime now) const {
  if (DecayUntil(now) < kNegligible) {
    return 0;
  }
  double urgent = 0;
  double total = 0;
  for (const auto& [other, demand] : demand_) {
    total += demand;
    urgent += other < priority ? demand : 0;
  }
  return total > 0 ? kMaxPart * urgent / total : 0;
}

}  // namespace flamingogauge
