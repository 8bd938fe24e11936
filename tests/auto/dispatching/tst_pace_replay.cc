#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "tests/auto/dispatching/pace_replay.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSlots = 7;
constexpr double kSlow = 2.8;
// More than the first upstreams can serve, so that requests wait.
constexpr double kOverload = 40;

// Four upstreams of normal speed under a load that keeps them full.
PaceReplay FullFleet(std::uint64_t seed, double rate = kOverload) {
  PaceReplay replay({.seed = seed, .rate = rate});
  for (const char* it : {"a", "b", "c", "d"}) {
    replay.AddUpstream(it, {.slots = kSlots});
  }
  return replay;
}

// Guards against flooding an upstream that has just started: with all its slots
// filled in one moment, the prompts wait for each other and begin late.
TEST_CASE("an upstream that has just started is neither flooded nor idle") {
  for (const double slowness : {1.0, kSlow}) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      CAPTURE(slowness);
      CAPTURE(seed);
      PaceReplay replay = FullFleet(seed);
      replay.Run(seconds(5));
      replay.AddUpstream("new", {.slots = kSlots, .slowness = slowness});
      const milliseconds until_full =
          replay.RunUntilRunning("new", kSlots, seconds(5));
      CHECK(replay.outcome("new").most_before_answer <= 2);
      // Two requests, and one more for each answer.
      CHECK(replay.outcome("new").answers() <= 2 * kSlots);
      CHECK(until_full < milliseconds(1500));
    }
  }
}

// Guards against an upstream that stays idle after a crash until a request has
// been served to its end, and against filling it in one moment then.
TEST_CASE("an upstream that has recovered is used again within a few answers") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    PaceReplay replay = FullFleet(seed);
    replay.Run(seconds(5));
    replay.engine("a").Crash(true);
    replay.Run(milliseconds(200));
    replay.engine("a").Restart();
    replay.RunUntilRunning("a", 1, seconds(5));
    replay.ResetOutcomes();
    CHECK(replay.RunUntilRunning("a", kSlots, seconds(5)) < milliseconds(1000));
    CHECK(replay.outcome("a").most_before_answer <= 1);
    CHECK(replay.outcome("a").answers() <= kSlots);
  }
}

// Guards against a restart that the store reports before any request has
// noticed it.
TEST_CASE("a new process of an upstream begins with a few requests") {
  PaceReplay replay = FullFleet(1);
  replay.Run(seconds(5));
  CHECK(replay.view("a").Limit(replay.now()) == kSlots);
  replay.engine("a").Crash(false);
  replay.Restart("a", 2);
  CHECK(replay.view("a").Limit(replay.now()) == 2);
  CHECK(replay.RunUntilRunning("a", kSlots, seconds(5)) < milliseconds(1500));
}

// Guards against taking a slow upstream for a failing one.
TEST_CASE("a slow upstream keeps its pace") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    PaceReplay replay = FullFleet(seed);
    replay.AddUpstream("slow", {.slots = kSlots, .slowness = kSlow});
    replay.Run(seconds(5));
    replay.ResetOutcomes();
    replay.Run(seconds(15));
    CHECK(replay.view("slow").Limit(replay.now()) >= kSlots - 1);
    CHECK(replay.outcome("slow").sent >= 15);
  }
}

// Guards against an upstream that turns slow and keeps all its requests
// waiting: it gets fewer, and all again once it has recovered.
TEST_CASE("an upstream that stalls gets fewer requests until it recovers") {
  PaceReplay replay = FullFleet(1);
  replay.Run(seconds(5));
  replay.engine("a").SetSlowness(15);
  replay.Run(seconds(10));
  CHECK(replay.view("a").Limit(replay.now()) <= kSlots / 2);
  replay.engine("a").SetSlowness(1);
  CHECK(replay.RunUntilRunning("a", kSlots, seconds(20)) < seconds(10));
}

// Guards against an upstream that fails most requests and, as it is idle,
// attracts more.
TEST_CASE("an upstream that fails most requests gets few at a time") {
  PaceReplay replay = FullFleet(1);
  replay.Run(seconds(5));
  replay.SetFailureShare("a", 1);
  replay.Run(seconds(5));
  CHECK(replay.view("a").Limit(replay.now()) <= 2);
  replay.SetFailureShare("a", 0);
  replay.Run(seconds(10));
  CHECK(replay.view("a").Limit(replay.now()) == kSlots);
}

// Guards against a pace that costs callers more than it brings: after a
// recovery more answers must begin on time than with one request at a time
// until one has been served to its end.
TEST_CASE("callers are served better while an upstream recovers") {
  // Within the capacity of the fleet, and far above it.
  for (const double rate : {18.0, kOverload}) {
    CAPTURE(rate);
    int on_time[2] = {0, 0};
    for (const int start_requests : {0, 2}) {
      for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        PaceReplay replay({.pace = {.start_requests = start_requests},
                           .seed = seed,
                           .rate = rate});
        for (const char* it : {"a", "b", "c", "d"}) {
          replay.AddUpstream(it, {.slots = kSlots});
        }
        replay.Run(seconds(5));
        replay.engine("a").Crash(true);
        replay.Run(milliseconds(200));
        replay.engine("a").Restart();
        replay.ResetOutcomes();
        replay.Run(seconds(3));
        for (const char* it : {"a", "b", "c", "d"}) {
          on_time[start_requests / 2] += replay.outcome(it).on_time;
        }
      }
    }
    CHECK(on_time[1] > on_time[0]);
  }
}

// Guards against a request that waits behind a long prompt although another
// upstream could begin at once.
TEST_CASE("a request goes where its prompt is read first") {
  Dispatcher dispatcher({.data_centre = "z"});
  std::vector<UpstreamEntry> upstreams;
  for (const char* it : {"a", "b"}) {
    upstreams.push_back(
        {.id = it, .service = "s", .data_centre = "z", .slots = kSlots});
  }
  constexpr MonotonicTime kStart{std::chrono::hours(1)};
  dispatcher.SetUpstreams(upstreams, kStart);
  for (int n = 0; n < 100; ++n) {
    const double tokens = n % 2 == 0 ? 600 : 6600;
    dispatcher.OnFirstEvent(
        PeerUpstreamKey(n % 4 < 2 ? "a" : "b"),
        milliseconds(40) + milliseconds(n % 2 == 0 ? 6 : 66), tokens, kStart);
  }
  // Two requests run at "b", none at "a".
  dispatcher.OnPeerLoad("h", {{PeerUpstreamKey("b"), 2}}, kStart);
  std::vector<std::string> chosen;
  for (std::uint64_t id = 1; id <= 2; ++id) {
    dispatcher.Enqueue({.id = id,
                        .service = "s",
                        .arrived_at = kStart,
                        .due_at = kStart + seconds(1),
                        .start_by = kStart + seconds(4),
                        .deadline = kStart + seconds(12),
                        .prompt_tokens = id == 1 ? 30000.0 : 600.0});
    for (const Placement& it : dispatcher.Place(kStart)) {
      chosen.push_back(it.upstream.id);
    }
  }
  CHECK(chosen == std::vector<std::string>{"a", "b"});
}

}  // namespace
}  // namespace flamingogauge
