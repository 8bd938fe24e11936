#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_URGENT_RESERVE_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_URGENT_RESERVE_H_

#include <map>

#include "libs/kernel/time.h"

namespace flamingogauge {

// Learns which part of a demand is urgent, to keep room for it: of what is in
// short supply, less urgent requests leave a part that follows the demand of
// the more urgent ones in the last seconds, and that is gone when they are.
//
// Load pattern: a workspace over its limit whose many small, less urgent
// requests spend each credit as it comes, so that its urgent ones are refused
// as often as the others.
class UrgentReserve {
 public:
  // A request of `priority` (0 is the most urgent) asks for `amount`, whether
  // it gets it or not.
  void OnDemand(int priority, double amount, MonotonicTime now);

  // The part that a request of `priority` has to leave, 0 to kMaxPart.
  double PartFor(int priority, MonotonicTime now) const;

  static constexpr double kMaxPart = 0.25;

 private:
  double DecayUntil(MonotonicTime now) const;

  // Recent demand by priority, decaying, as of `updated_at_`.
  std::map<int, double> demand_;
  MonotonicTime updated_at_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_URGENT_RESERVE_H_
