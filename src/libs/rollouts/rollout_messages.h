#ifndef FLAMINGOGAUGE_LIBS_ROLLOUTS_ROLLOUT_MESSAGES_H_
#define FLAMINGOGAUGE_LIBS_ROLLOUTS_ROLLOUT_MESSAGES_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libs/fleet/rollout_order.h"

// What hosts tell each other of roll-outs, as a part of their coordination
// messages. Times are durations before the sending of the message.

namespace flamingogauge {

// What the sender knows of an order.
struct RolloutState {
  std::string service;
  std::string target;
  std::uint64_t order = 0;
  // The newest revision of the order that is known.
  std::uint64_t revision = 0;
  std::chrono::milliseconds duration{0};
  // Since a host first read the order.
  std::chrono::milliseconds age{0};
  // Since a host that reads the store permitted trial requests; empty if none
  // has.
  std::optional<std::chrono::milliseconds> permission_age;
  // The versions that served before.
  std::vector<std::string> from;
  RolloutPhase phase = RolloutPhase::kTrial;
  RolloutOutcome outcome = RolloutOutcome::kNone;
  // True once a host has found the target bad.
  bool is_bad = false;
  std::string reason;
  // The operator has removed the order.
  bool is_withdrawn = false;
  // Requests at upstreams of the old versions, of the sending host or data
  // centre.
  std::uint32_t old_running = 0;
  // Hosts that may still send requests to the old versions, of the sending host
  // or data centre.
  std::uint32_t hosts_behind = 0;

  bool operator==(const RolloutState&) const = default;
};

// The number of bins for the times of answers, half an octave each.
inline constexpr std::size_t kDurationBins = 20;

inline constexpr std::uint64_t kBusyBit = 1;

// Answers since the start of an order, on one route, by one group of
// the target's upstreams or by all upstreams of the old versions together.
struct EvidenceCount {
  std::uint64_t order = 0;
  // Hash of the route's name; its lowest bit, kBusyBit, tells whether the
  // upstreams were busy.
  std::uint64_t route = 0;
  // The group of the target's upstreams; 0 for the old versions.
  std::uint64_t upstream = 0;
  std::uint32_t answers = 0;
  std::uint32_t failures = 0;
  // Answers by the time that they took; see DurationBin.
  std::array<std::uint32_t, kDurationBins> durations{};

  bool operator==(const EvidenceCount&) const = default;
};

struct RolloutReport {
  std::vector<RolloutState> rollouts;
  // Totals; empty if the message brings none, as only some do.
  std::vector<EvidenceCount> evidence;

  bool operator==(const RolloutReport&) const = default;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_ROLLOUTS_ROLLOUT_MESSAGES_H_
