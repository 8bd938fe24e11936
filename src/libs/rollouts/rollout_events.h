#ifndef FLAMINGOGAUGE_LIBS_ROLLOUTS_ROLLOUT_EVENTS_H_
#define FLAMINGOGAUGE_LIBS_ROLLOUTS_ROLLOUT_EVENTS_H_

#include <chrono>
#include <string>
#include <vector>

#include "libs/kernel/time.h"
#include "libs/rollouts/rollout_table.h"

namespace flamingogauge {

// A change that operators want to see.
struct RolloutEvent {
  enum class Kind { kBegan, kStep, kVerdict, kEnded };

  Kind kind = Kind::kBegan;
  std::string service;
  std::string target;
  std::string detail;
  // Of the order.
  std::chrono::milliseconds age{0};
};

// Returns what has changed in the knowledge of an order; `before` is null if
// the order was not known.
std::vector<RolloutEvent> EventsBetween(const RolloutRecord* before,
                                        const RolloutRecord& after,
                                        MonotonicTime now);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_ROLLOUTS_ROLLOUT_EVENTS_H_
