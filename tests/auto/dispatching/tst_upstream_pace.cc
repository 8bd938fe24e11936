#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "libs/dispatching/first_event_model.h"
#include "libs/dispatching/upstream_pace.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{std::chrono::hours(1)};
constexpr milliseconds kTook{100};
constexpr int kSlots = 7;

MonotonicTime At(int ms) {
  return kStart + milliseconds(ms);
}

// Guards against a pace that grows without being used, or faster than answers
// come, or beyond the slots, and against one that several late answers of the
// same moment halve more than once.
TEST_CASE("the pace follows the answers") {
  struct Step {
    std::string what;
    std::function<void(UpstreamPace&)> apply;
    int limit;
  };
  const auto answer = [](int ms, int running, bool is_on_time = true) {
    return [=](UpstreamPace& pace) {
      pace.OnAnswer(is_on_time, kTook, running, At(ms));
    };
  };
  UpstreamPace pace({}, kSlots);
  for (const Step& it : std::vector<Step>{
           {"listed", [](UpstreamPace&) {}, 7},
           {"started", [](UpstreamPace& p) { p.OnStarted(At(0)); }, 2},
           {"an answer, unused", answer(100, 0), 2},
           {"an answer", answer(110, 2), 3},
           {"an answer", answer(120, 2), 4},
           {"late", answer(200, 4, false), 4},
           {"late again", answer(210, 4, false), 4},
           {"the third late one", answer(220, 4, false), 2},
           {"late, sent before", answer(310, 4, false), 2},
           {"on time", answer(400, 2), 2},
           {"on time", answer(410, 2), 3},
           {"on time", answer(420, 2), 3},
           {"connection lost",
            [](UpstreamPace& p) { p.OnConnectionLost(At(500)); }, 1},
           {"on time, doubling", answer(600, 1), 2},
           {"recovered, others go on",
            [](UpstreamPace& p) { p.OnRecovered(5, At(700)); }, 5},
           {"on time, doubling", answer(710, 5), 6},
           {"on time, doubling", answer(720, 5), 7},
           {"on time, at the slots", answer(730, 7), 7},
           {"one late answer", answer(2000, 7, false), 7},
           {"refused", [](UpstreamPace& p) { p.OnRefused(At(3000)); }, 3},
           {"refused again", [](UpstreamPace& p) { p.OnRefused(At(3050)); }, 3},
           {"fewer slots", [](UpstreamPace& p) { p.SetSlots(2); }, 2},
       }) {
    CAPTURE(it.what);
    it.apply(pace);
    CHECK(pace.Limit(At(3000)) == it.limit);
  }
}

// Guards against an upstream of which nobody knows more than that it started
// long ago, and which is then left idle.
TEST_CASE("an upstream that was not used after its start gets all its slots") {
  UpstreamPace pace({}, kSlots);
  pace.OnStarted(kStart);
  CHECK(pace.Limit(kStart + seconds(3)) == 2);
  CHECK(pace.Limit(kStart + seconds(3) + milliseconds(1)) == kSlots);
}

// Guards against a change of behaviour where learning is turned off.
TEST_CASE("without learning an upstream has all slots, or one once broken") {
  UpstreamPace pace({.start_requests = 0}, kSlots);
  pace.OnStarted(kStart);
  pace.OnAnswer(false, kTook, kSlots, kStart);
  pace.OnRefused(kStart);
  CHECK(pace.Limit(kStart) == kSlots);
  pace.OnConnectionLost(kStart);
  pace.OnAnswer(true, kTook, 1, kStart);
  CHECK(pace.Limit(kStart) == 1);
  pace.OnRecovered(0, kStart);
  CHECK(pace.Limit(kStart) == kSlots);
}

// Guards against an older report that replaces what was learned since, and
// against repeated ones that change anything.
TEST_CASE("only a report of newer answers changes the pace") {
  UpstreamPace pace({}, kSlots);
  pace.OnReport(3, At(100), At(150));
  CHECK(pace.Limit(At(150)) == 3);
  CHECK(pace.cause() == PaceCause::kReported);
  pace.OnReport(6, At(90), At(160));
  CHECK(pace.Limit(At(160)) == 3);
  pace.OnAnswer(true, kTook, 3, At(200));
  pace.OnReport(2, At(190), At(210));
  CHECK(pace.Limit(At(210)) == 3);
  pace.OnReport(100, At(220), At(230));
  CHECK(pace.Limit(At(230)) == kSlots);
}

// Guards against an expectation that a few failing upstreams set, and against
// one that does not tell short prompts from long ones.
TEST_CASE("the first event is expected by the length of the prompt") {
  FirstEventModel model;
  CHECK(!model.Expect(1000));
  for (int n = 0; n < 200; ++n) {
    const double tokens = n % 2 == 0 ? 600 : 6600;
    const bool is_stalled = n % 20 == 19;
    model.Add(tokens, FirstEventModel::Seconds(0.05 + tokens / 100000 +
                                               (is_stalled ? 30 : 0)));
  }
  REQUIRE(model.Expect(600));
  CHECK(model.Expect(600)->count() == doctest::Approx(0.056).epsilon(0.5));
  CHECK(model.Expect(6600)->count() == doctest::Approx(0.116).epsilon(0.6));
  CHECK(model.Expect(6600)->count() > model.Expect(600)->count());
}

}  // namespace
}  // namespace flamingogauge
