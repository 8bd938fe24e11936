#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

#include "libs/dispatching/admission_policy.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kNow{std::chrono::hours(1)};

AdmissionCandidate Queued(int priority = 0) {
  return {.request = {.id = 1,
                      .priority = priority,
                      .arrived_at = kNow,
                      .due_at = kNow + milliseconds(600),
                      .start_by = kNow + milliseconds(2400),
                      .deadline = kNow + seconds(12)},
          .on_time_until = kNow + milliseconds(500)};
}

// Guards against admitting what will be late, against refusing what still has
// time, and against costly requests that make all others wait.
TEST_CASE("a request is admitted if its expected wait leaves it time") {
  struct Case {
    std::string name;
    AdmissionCandidate queued;
    WaitingQueue::Ahead ahead;
    double relative_cost;
    bool admitted;
  };
  AdmissionCandidate late = Queued();
  late.is_late = true;
  AdmissionCandidate resent = Queued();
  resent.request.was_sent = true;
  AdmissionCandidate waiting = Queued();
  waiting.is_admitted = true;
  const std::vector<Case> cases{
      {"short queue", Queued(), {.equal = 40}, 1, true},
      {"long queue", Queued(), {.equal = 50}, 1, false},
      {"behind more urgent ones", Queued(1), {.more_urgent = 50}, 1, false},
      {"cheap, long queue", Queued(), {.equal = 50}, 0.1, false},
      {"costly, short queue", Queued(), {.equal = 30}, 4, false},
      {"costly, nearly empty queue", Queued(), {.equal = 4}, 4, true},
      {"very costly, empty queue", Queued(), {.equal = 0}, 1000, true},
      {"late, within its caller's time", late, {.equal = 100}, 1, true},
      {"late, too long", late, {.equal = 250}, 1, false},
      {"sent before", resent, {.equal = 200}, 1, true},
      {"admitted before", waiting, {.equal = 200}, 1, true},
  };
  for (const Case& it : cases) {
    CAPTURE(it.name);
    const AdmissionDecision decision =
        DecideAdmission(it.queued,
                        {.ahead = it.ahead,
                         .rates = {.total = 100},
                         .first_event_time = milliseconds(100),
                         .relative_cost = it.relative_cost},
                        kNow);
    CHECK(decision.is_admitted == it.admitted);
    CHECK(decision.reason.empty() == it.admitted);
  }
}

// Guards against an expected wait that ignores what more urgent requests, or
// those that can still be on time, take of the placements.
TEST_CASE("the rate that is left for a priority") {
  const ServiceRates rates{.total = 100,
                           .placed_on_time = {{0, 50}, {1, 30}, {2, 20}}};
  struct Case {
    int priority;
    bool is_late;
    double left;
  };
  for (const Case& it :
       {Case{0, false, 100}, Case{0, true, 1}, Case{1, false, 50},
        Case{1, true, 1}, Case{2, false, 20}, Case{2, true, 1}}) {
    CAPTURE(it.priority);
    CAPTURE(it.is_late);
    CHECK(rates.LeftFor(it.priority, it.is_late) == doctest::Approx(it.left));
  }
}

// Guards against a rate that still counts upstreams which fell silent, and
// against one that outlasts the placements.
TEST_CASE("the rate follows the placements and the usable places") {
  ServiceRate rate;
  rate.SetPlaces(90);
  MonotonicTime now = kNow;
  const auto place = [&rate, &now](int count, milliseconds interval) {
    for (int n = 0; n < count; ++n) {
      now += interval;
      rate.OnPlaced(n % 2, true, now);
    }
  };
  place(200, milliseconds(10));
  CHECK(rate.Measure(now).total == doctest::Approx(100).epsilon(0.05));
  CHECK(rate.Measure(now).LeftFor(1, false) ==
        doctest::Approx(50).epsilon(0.05));
  rate.SetPlaces(60);
  CHECK(rate.Measure(now).total == doctest::Approx(67).epsilon(0.05));
  place(200, milliseconds(20));
  CHECK(rate.Measure(now).total == doctest::Approx(50).epsilon(0.05));
  now += seconds(3);
  CHECK(rate.Measure(now).total == doctest::Approx(1));
}

// Guards against requests that are refused although upstreams that limit their
// rate will take them in time: nothing runs there, and little was placed.
TEST_CASE("the rate is at least what limited upstreams take") {
  ServiceRate rate;
  rate.SetPlaces(0);
  rate.SetLimitedRate(12);
  CHECK(rate.Measure(kNow).total == doctest::Approx(12));
  rate.OnPlaced(0, true, kNow);
  CHECK(rate.Measure(kNow).total == doctest::Approx(12));
  rate.SetLimitedRate(0);
  CHECK(rate.Measure(kNow + seconds(3)).total == doctest::Approx(1));
}

}  // namespace
}  // namespace flamingogauge
