#ifndef FLAMINGOGAUGE_LIBS_FLEET_ROLLOUT_ORDER_H_
#define FLAMINGOGAUGE_LIBS_FLEET_ROLLOUT_ORDER_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace flamingogauge {

// How far the traffic of a service has moved; only increases within an order.
enum class RolloutPhase {
  // Few requests go to the new version.
  kTrial,
  // All new requests go to the new version.
  kShift,
  // No host has requests at the old version or will send any.
  kComplete,
};

// The state of an order as written to the store.
enum class RolloutOutcome {
  kNone,
  kRunning,
  kCompleted,
  kRolledBack,
};

inline bool IsFinal(RolloutOutcome outcome) {
  return outcome == RolloutOutcome::kCompleted ||
         outcome == RolloutOutcome::kRolledBack;
}

// What hosts write to an order in the store.
struct RolloutStatus {
  RolloutOutcome outcome = RolloutOutcome::kNone;
  std::string target;
  // The order that the status is about; 0 if it does not say.
  std::uint64_t order = 0;
  RolloutPhase phase = RolloutPhase::kTrial;
  // The versions that served before.
  std::vector<std::string> from;
  // When a host first read the order, since the Unix epoch; 0 if unknown.
  std::chrono::milliseconds began_at{0};

  bool operator==(const RolloutStatus&) const = default;
};

// An operator's order to move a service to upstreams of another version.
struct RolloutOrder {
  // The name of the object in the store.
  std::string name;
  std::string service;
  std::string target;
  // The time limit, from the writing of the order.
  std::chrono::milliseconds duration{0};
  // Identifies the order: differs from earlier ones of the same name.
  std::uint64_t order = 0;
  // Increases with each change of the order or its status.
  std::uint64_t revision = 0;
  RolloutStatus status;

  bool operator==(const RolloutOrder&) const = default;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_FLEET_ROLLOUT_ORDER_H_
