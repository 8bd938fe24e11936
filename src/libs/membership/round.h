#ifndef FLAMINGOGAUGE_LIBS_MEMBERSHIP_ROUND_H_
#define FLAMINGOGAUGE_LIBS_MEMBERSHIP_ROUND_H_

#include <chrono>
#include <set>
#include <vector>

#include "libs/kernel/time.h"
#include "libs/model/ids.h"

namespace flamingogauge {

enum class RoundState {
  kOpen,
  kAllAnswered,
  // Some expected members have not answered; see missing().
  kTimeLimit,
};

// Collects one answer from each expected member before a decision, for example
// the re-reports to a new scheduler, or the revisions asked for at the start.
// It ends as soon as all expected members have answered and keeps the time
// limit for the worst case: the fast path of R. Burns, "Fastpath Optimizations
// for Cluster Recovery in Shared-Disk Systems", SC'04. Measured by
// `measure_takeover`; see docs/CAPACITY.md.
class Round {
 public:
  struct Options {
    std::chrono::milliseconds time_limit{500};
    // False waits for the time limit in any case; only for comparison.
    bool ends_when_all_answered = true;
  };

  Round(const std::vector<HostId>& expected,
        const Options& options,
        MonotonicTime now);

  // Answers of members that are not expected, and second ones, do not matter.
  void OnAnswer(const HostId& host);

  // Stops expecting members that are no longer live. A member that joins later
  // is not expected, because it has nothing to report from before.
  void OnLiveMembers(const std::vector<HostId>& live);

  // Never returns to kOpen.
  RoundState Update(MonotonicTime now);

  MonotonicTime deadline() const { return deadline_; }
  const std::set<HostId>& missing() const { return missing_; }

 private:
  Options options_;
  MonotonicTime deadline_;
  std::set<HostId> missing_;
  RoundState state_ = RoundState::kOpen;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_MEMBERSHIP_ROUND_H_
