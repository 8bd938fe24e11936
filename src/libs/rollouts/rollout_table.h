#ifndef FLAMINGOGAUGE_LIBS_ROLLOUTS_ROLLOUT_TABLE_H_
#define FLAMINGOGAUGE_LIBS_ROLLOUTS_ROLLOUT_TABLE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libs/kernel/time.h"
#include "libs/rollouts/rollout_messages.h"

namespace flamingogauge {

// What this host knows of an order.
struct RolloutRecord {
  std::string service;
  std::string target;
  std::uint64_t order = 0;
  std::uint64_t revision = 0;
  std::chrono::milliseconds duration{0};
  MonotonicTime began_at;
  // When this process learned of the order.
  MonotonicTime learned_at;
  std::optional<MonotonicTime> permitted_at;
  std::set<std::string> from;
  RolloutPhase phase = RolloutPhase::kTrial;
  RolloutOutcome outcome = RolloutOutcome::kNone;
  bool is_bad = false;
  std::string reason;
  bool is_withdrawn = false;
  // When this process learned that nothing remains to be done; set once.
  std::optional<MonotonicTime> ended_at;

  // The version was found bad before it was final that it is good.
  bool IsCondemned() const {
    return outcome == RolloutOutcome::kRolledBack ||
           (is_bad && outcome != RolloutOutcome::kCompleted);
  }
  bool HasEnded() const { return is_withdrawn || IsFinal(outcome); }
  bool IsShifted() const {
    return outcome == RolloutOutcome::kCompleted ||
           (!IsCondemned() && !is_withdrawn && phase != RolloutPhase::kTrial);
  }
};

// The newest order of each service. Knowledge from the store and from other
// hosts is merged, in any order and repeatedly, so that phase and verdict never
// go back and a final outcome stays.
class RolloutTable {
 public:
  using Records = std::map<std::string, RolloutRecord>;

  // Merges what a host or the store says. Returns true if anything but the
  // permission changed.
  bool Merge(const RolloutState& state, MonotonicTime now);
  // The order no longer is in the store. A newer one of the service stays.
  bool Withdraw(const std::string& service,
                std::uint64_t order,
                MonotonicTime now);
  bool Condemn(const std::string& service, const std::string& reason);
  bool Advance(const std::string& service, RolloutPhase phase);
  // Permits trial requests from now.
  void Permit(MonotonicTime now);

  const Records& records() const { return records_; }
  const RolloutRecord* Find(const std::string& service) const;
  // Returns what to tell other hosts: the orders that are in progress or ended
  // lately.
  std::vector<RolloutState> Report(MonotonicTime now) const;

 private:
  bool MergeSame(const RolloutState& state,
                 RolloutRecord& record,
                 MonotonicTime now);

  Records records_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_ROLLOUTS_ROLLOUT_TABLE_H_
