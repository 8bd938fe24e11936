#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "libs/kernel/random.h"
#include "libs/rollouts/rollout_table.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const MonotonicTime kStart = MonotonicTime() + std::chrono::hours(1);

RolloutState State(std::uint64_t order, std::uint64_t revision) {
  return {.service = "s",
          .target = "v2",
          .order = order,
          .revision = revision,
          .duration = seconds(12),
          .from = {"v1"}};
}

// Guards against hosts that end up with different knowledge because messages
// arrive in another order, twice or not at all.
TEST_CASE("knowledge of an order is the same in whatever order it arrives") {
  std::vector<RolloutState> states(6, State(1, 5));
  states[1].phase = RolloutPhase::kShift;
  states[2].is_bad = true;
  states[2].reason = "r";
  states[3].revision = 8;
  states[3].outcome = RolloutOutcome::kRunning;
  states[4].revision = 9;
  states[4].outcome = RolloutOutcome::kRolledBack;
  states[5] = State(2, 4);
  constexpr std::uint64_t kSeed = 7;
  CAPTURE(kSeed);
  Random random(kSeed);
  for (int run = 0; run < 200; ++run) {
    RolloutTable table;
    for (int repeat = 0; repeat < 2; ++repeat) {
      for (std::size_t n = states.size(); n > 1; --n) {
        std::swap(states[n - 1], states[random.NextBelow(n)]);
      }
      for (const RolloutState& it : states) {
        table.Merge(it, kStart);
      }
    }
    const RolloutRecord* record = table.Find("s");
    REQUIRE(record != nullptr);
    CHECK(record->order == 1);
    CHECK(record->phase == RolloutPhase::kShift);
    CHECK(record->is_bad);
    CHECK(record->outcome == RolloutOutcome::kRolledBack);
    CHECK(record->IsCondemned());
  }
}

// Guards against a final outcome that changes, and against phases after a
// verdict.
TEST_CASE("a verdict ends the progress and a final outcome stays") {
  RolloutTable table;
  table.Merge(State(1, 5), kStart);
  CHECK(table.Advance("s", RolloutPhase::kShift));
  CHECK_FALSE(table.Advance("s", RolloutPhase::kTrial));
  CHECK(table.Condemn("s", "bad"));
  CHECK_FALSE(table.Advance("s", RolloutPhase::kComplete));
  CHECK(table.Find("s")->IsCondemned());

  RolloutState completed = State(1, 6);
  completed.outcome = RolloutOutcome::kCompleted;
  table.Merge(completed, kStart);
  CHECK_FALSE(table.Find("s")->IsCondemned());
  RolloutState late = State(1, 7);
  late.outcome = RolloutOutcome::kRolledBack;
  table.Merge(late, kStart);
  CHECK(table.Find("s")->outcome == RolloutOutcome::kCompleted);
}

// Guards against an old order that replaces a newer one, and against an order
// that goes on although its operator took it back.
TEST_CASE("newer orders replace older ones, and orders can be taken back") {
  RolloutTable table;
  table.Merge(State(1, 5), kStart);
  CHECK(table.Withdraw("s", 1, kStart));
  CHECK(table.Find("s")->HasEnded());
  table.Merge(State(1, 5), kStart);
  CHECK(table.Find("s")->is_withdrawn);
  CHECK(table.Merge(State(2, 7), kStart));
  CHECK(table.Find("s")->order == 2);
  CHECK_FALSE(table.Find("s")->HasEnded());
  CHECK_FALSE(table.Merge(State(1, 5), kStart));
  CHECK(table.Find("s")->order == 2);
}

// Guards against messages about orders that have long ended.
TEST_CASE("an order is reported while it is in progress and shortly after") {
  RolloutTable table;
  CHECK(table.Report(kStart).empty());
  table.Merge(State(1, 5), kStart);
  table.Permit(kStart);
  const MonotonicTime later = kStart + seconds(100);
  const auto reported = table.Report(later);
  REQUIRE(reported.size() == 1);
  CHECK(reported[0].age == seconds(100));
  CHECK(reported[0].permission_age == milliseconds(100000));
  RolloutState completed = State(1, 6);
  completed.outcome = RolloutOutcome::kCompleted;
  table.Merge(completed, later);
  CHECK(table.Report(later + seconds(5)).size() == 1);
  CHECK(table.Report(later + seconds(15)).empty());
}

}  // namespace
}  // namespace flamingogauge
