#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>

#include "tests/auto/dispatching/admission_replay.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// An urgent kind with long prompts and outputs, a less urgent one with long
// outputs, and many short ones. The upstreams are in use to four fifths.
constexpr int kUrgent = 0;
constexpr int kShort = 2;

std::vector<ReplayKind> MixedKinds() {
  return {{.priority = 0,
           .per_second = 16,
           .target = milliseconds(600),
           .time_limit = seconds(12),
           .prompt_tokens = 6600,
           .output_tokens = 150,
           .output_sigma = 1.2,
           .worth = 8.5,
           .late_worth = 0.85},
          {.priority = 1,
           .per_second = 14,
           .target = milliseconds(800),
           .prompt_tokens = 630,
           .output_tokens = 150,
           .output_sigma = 1.2,
           .worth = 1.7,
           .late_worth = 0.17},
          {.priority = 2,
           .per_second = 60,
           .target = milliseconds(1200),
           .time_limit = milliseconds(2500),
           .prompt_tokens = 1800,
           .output_tokens = 18,
           .output_sigma = 0.6,
           .worth = 0.2,
           .late_worth = 0.02}};
}

// A surge of the short requests, and one of the urgent ones before it has
// ended.
ReplayOptions BurstOfShortThenUrgent(double short_factor,
                                     double urgent_factor,
                                     std::uint64_t seed) {
  return {.kinds = MixedKinds(),
          .surges = {{.kind = kShort,
                      .from = seconds(3),
                      .until = seconds(8),
                      .factor = short_factor},
                     {.kind = kUrgent,
                      .from = seconds(6),
                      .until = seconds(9),
                      .factor = urgent_factor}},
          .seed = seed};
}

// A surge of all requests while a third of the upstreams is silent and one
// workspace sends six times its usual.
ReplayOptions BurstWhileUpstreamsAreSilent(double factor, std::uint64_t seed) {
  return {.kinds = MixedKinds(),
          .surges = {{.from = seconds(4),
                      .until = milliseconds(6500),
                      .factor = factor},
                     {.workspace = 0,
                      .from = seconds(2),
                      .until = seconds(8),
                      .factor = 6}},
          .dark_share = 0.34,
          .dark_from = seconds(4),
          .dark_until = seconds(7),
          .seed = seed};
}

// Guards against urgent requests that are late or refused while short, less
// urgent ones are served: the places that a burst of the short ones holds must
// be given back when a burst of the urgent ones follows.
TEST_CASE("urgent requests do not pay for a burst of less urgent ones") {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    CAPTURE(seed);
    AdmissionReplay replay(BurstOfShortThenUrgent(2.5, 1.9, seed));
    replay.Run();
    const ReplayOutcome urgent = replay.Sum(seconds(3), seconds(9), kUrgent);
    const ReplayOutcome others = replay.Sum(seconds(3), seconds(9), kShort);
    CAPTURE(urgent.on_time);
    CAPTURE(urgent.late);
    CAPTURE(urgent.refused);
    CAPTURE(urgent.refused_again);
    CAPTURE(urgent.left);
    CAPTURE(others.on_time);
    CAPTURE(others.owed);
    CHECK(urgent.worth_share() >= 0.9);
    CHECK(urgent.worth_share() >= others.worth_share() - 0.02);
  }
}

// Guards against a queue that makes everything late: a third of the upstreams
// is silent during a burst in which one workspace sends six times its usual.
// What waits in vain must not be served before what can be on time, and the
// queue must be gone within a second after the burst.
TEST_CASE("no queue outlasts a burst during which upstreams are silent") {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    CAPTURE(seed);
    AdmissionReplay replay(BurstWhileUpstreamsAreSilent(1.8, seed));
    replay.Run();
    const ReplayOutcome burst = replay.Sum(seconds(4), milliseconds(6500));
    const ReplayOutcome after = replay.Sum(seconds(8), seconds(10));
    const ReplayOutcome urgent_after =
        replay.Sum(seconds(8), seconds(10), kUrgent);
    CAPTURE(burst.owed);
    CAPTURE(burst.on_time);
    CAPTURE(burst.late);
    CAPTURE(burst.refused_again);
    CAPTURE(burst.left);
    CHECK(burst.on_time > burst.late);
    CHECK(burst.worth_share() >= 0.4);
    CHECK(after.worth_share() >= 0.9);
    CHECK(urgent_after.on_time_share() >= 0.95);
  }
}

// Guards against answers that come late because of what was let in before: in
// an overload of many times the capacity, at most one urgent request in fifty
// is late, and four times as many of all are on time as late.
TEST_CASE("what is let in during a heavy overload is on time") {
  ReplayOutcome urgent;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    CAPTURE(seed);
    AdmissionReplay herd(BurstOfShortThenUrgent(6, 3, seed));
    herd.Run();
    const ReplayOutcome of_herd = herd.Sum(seconds(3), seconds(9), kUrgent);
    urgent.owed += of_herd.owed;
    urgent.late += of_herd.late;

    AdmissionReplay dark(BurstWhileUpstreamsAreSilent(3, seed));
    dark.Run();
    const ReplayOutcome burst = dark.Sum(seconds(4), milliseconds(6500));
    CAPTURE(burst.on_time);
    CAPTURE(burst.late);
    CHECK(burst.on_time > 4 * burst.late);
  }
  CAPTURE(urgent.owed);
  CHECK(urgent.late * 50 <= urgent.owed);
}

// Guards against long outputs that are starved while short ones are preferred
// in an overload, and against an overload in which they hold most places.
TEST_CASE("the longest outputs are served at least half as often as others") {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    CAPTURE(seed);
    AdmissionReplay replay(
        {.kinds = MixedKinds(),
         .surges = {{.from = seconds(3), .until = seconds(6), .factor = 1.8}},
         .seed = seed});
    replay.Run();
    const double all = replay.SumBySize(kUrgent, 0, 1).served_share();
    CHECK(replay.SumBySize(kUrgent, 0.9, 1).served_share() >= all / 2);
    CHECK(replay.SumBySize(kUrgent, 0.7, 0.9).served_share() >= all / 2);
  }
}

// Guards against a workspace that makes the others pay for its surge, and
// against one that is starved because of it.
TEST_CASE("a workspace at six times its usual pays for itself") {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    CAPTURE(seed);
    AdmissionReplay replay({.kinds = MixedKinds(),
                            .surges = {{.workspace = 0,
                                        .from = seconds(3),
                                        .until = seconds(9),
                                        .factor = 6}},
                            .seed = seed});
    replay.Run();
    const ReplayOutcome all = replay.Sum(seconds(3), seconds(9), kUrgent);
    const ReplayOutcome hot = replay.Sum(seconds(3), seconds(9), kUrgent, 0);
    CHECK(hot.served_share() >= all.served_share() / 4);
    for (int workspace = 1; workspace < 8; ++workspace) {
      CAPTURE(workspace);
      const ReplayOutcome other =
          replay.Sum(seconds(3), seconds(9), kUrgent, workspace);
      CHECK(other.on_time_share() >= hot.on_time_share() - 0.05);
      CHECK(other.served_share() >= 0.8);
    }
  }
}

// Guards against callers that repeat at once and thereby take the places of
// those that return as they were told.
TEST_CASE("callers that repeat at once push nobody out") {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    CAPTURE(seed);
    ReplayOptions options{
        .kinds = MixedKinds(),
        .surges = {{.from = seconds(3), .until = seconds(5), .factor = 1.8}},
        .seed = seed};
    AdmissionReplay patient(options);
    patient.Run();
    options.abusive_share = 0.3;
    AdmissionReplay abused(options);
    abused.Run();
    const double without = patient.Sum(seconds(0), seconds(8)).worth_share();
    const double with = abused.Sum(seconds(0), seconds(8)).worth_share();
    CHECK(with >= without - 0.1);
  }
}

}  // namespace
}  // namespace flamingogauge
