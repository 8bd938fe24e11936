#include <doctest/doctest.h>

#include <chrono>

#include "libs/membership/round.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

// Guards against a round that stays open after all expected members have
// answered, ends early while answers are missing, or exceeds its time limit.
TEST_CASE("A round ends when all expected members answered or at its limit") {
  const MonotonicTime start{};
  Round round({"a", "b", "c"}, {.time_limit = milliseconds(500)}, start);
  round.OnAnswer("a");
  round.OnAnswer("a");
  round.OnAnswer("x");
  CHECK(round.Update(start + milliseconds(10)) == RoundState::kOpen);
  Round late = round;
  CHECK(late.Update(start + milliseconds(500)) == RoundState::kTimeLimit);
  late.OnAnswer("b");
  late.OnAnswer("c");
  CHECK(late.Update(start + milliseconds(501)) == RoundState::kTimeLimit);
  round.OnAnswer("b");
  round.OnLiveMembers({"a", "b", "d"});
  CHECK(round.Update(start + milliseconds(20)) == RoundState::kAllAnswered);

  Round alone({}, {.time_limit = milliseconds(500)}, start);
  CHECK(alone.Update(start) == RoundState::kAllAnswered);
  Round slow({"a"},
             {.time_limit = milliseconds(500), .ends_when_all_answered = false},
             start);
  slow.OnAnswer("a");
  CHECK(slow.Update(start + milliseconds(499)) == RoundState::kOpen);
  CHECK(slow.Update(start + milliseconds(500)) == RoundState::kAllAnswered);
}

}  // namespace
}  // namespace flamingogauge
