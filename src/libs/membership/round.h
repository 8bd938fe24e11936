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
  // The time limit has passed before all expected members answered; missing()
  // lists the others.
  kTimeLimit,
};

// Waits for one answer from each expected member, for example for the reports
// to a new scheduler or the revisions requested at startup. Ends as soon as all
// expected members have answered; the time limit applies only if one does not.
// This is the fast path of R. Burns, "Fastpath Optimizations for Cluster
// Recovery in Shared-Disk Systems", SC'04. `measure_takeover` measures its
// effect; see docs/CAPACITY.md.
class Round {
 public:
  struct Options {
    std::chrono::milliseconds time_limit{500};
    // If false, always waits for the time limit. Used only for comparison
    // measurements.
    bool ends_when_all_answered = true;
  };

  Round(const std::vector<HostId>& expected,
        const Options& options,
        MonotonicTime now);

  // Ignores repeated answers and answers from members that are not expected.
  void OnAnswer(const HostId& host);

  // Stops waiting for members that are no longer live. A member that joins
  // later is not added, because it has no earlier state to report.
  void OnLiveMembers(const std::vector<HostId>& live);

  // Returns the current state. Once it has left kOpen, it does not change.
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
