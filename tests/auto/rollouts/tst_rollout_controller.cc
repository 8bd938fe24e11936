#include <doctest/doctest.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "libs/dispatching/dispatcher.h"
#include "libs/rollouts/rollout_controller.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const MonotonicTime kStart = MonotonicTime() + std::chrono::hours(1);
constexpr milliseconds kUnixTime = std::chrono::hours(1000);
constexpr RolloutController::Role kReader{.reads_store = true};
constexpr RolloutController::Role kDecider{.reads_store = true,
                                           .is_coordinator = true};

std::vector<UpstreamEntry> Upstreams() {
  std::vector<UpstreamEntry> upstreams;
  for (int n = 0; n < 6; ++n) {
    const bool is_old = n < 3;
    upstreams.push_back({.id = "u" + std::to_string(n),
                         .service = "s",
                         .data_centre = "d1",
                         .version = is_old ? "v1" : "v2",
                         .slots = 4,
                         .started_at_ms = is_old ? 1 : 2});
  }
  return upstreams;
}

RolloutOrder Order(std::uint64_t revision = 5) {
  return {.name = "s",
          .service = "s",
          .target = "v2",
          .duration = seconds(12),
          .order = 77,
          .revision = revision};
}

// One host alone: it reads the store and decides.
struct Fixture {
  explicit Fixture(bool with_upstreams = true) {
    controller.SetHosts({{.name = "h1", .data_centre = "d1"}}, kStart);
    if (with_upstreams) {
      controller.SetUpstreams(Upstreams(), kUnixTime, kStart);
    }
  }

  // Reports this host's state to itself, as to a coordinator.
  void Report(MonotonicTime now) {
    controller.OnHostReport("h1", 1, controller.HostReport("h1", running, now),
                            now);
  }

  RolloutActions Tick(milliseconds since,
                      const RolloutController::Role& role = kDecider) {
    Report(kStart + since);
    return controller.Tick(role, kUnixTime + since, kStart + since);
  }

  // Goes on as a coordinator that never pauses.
  void TickUntil(milliseconds from, milliseconds until) {
    for (milliseconds it = from; it < until; it += milliseconds(100)) {
      Tick(it, {.is_coordinator = true});
    }
  }

  void Answer(int upstream, bool good, int count) {
    for (int n = 0; n < count; ++n) {
      controller.OnRequestEnded(
          {.upstream = Upstreams()[static_cast<std::size_t>(upstream)],
           .result = good ? DispatchResult::kServed : DispatchResult::kFailed,
           .answer = {.route = 1, .took = milliseconds(50)}},
          kStart);
    }
  }

  RolloutController controller{
      {.host = "h1", .data_centre = "d1", .limits = {.exposure_share = 0.1}}};
  RolloutController::Running running;
};

std::vector<RolloutOutcome> Outcomes(const RolloutActions& actions) {
  std::vector<RolloutOutcome> outcomes;
  for (const RolloutStatusWrite& it : actions.writes) {
    outcomes.push_back(it.status.outcome);
  }
  return outcomes;
}

// Guards against a host that writes although another has the duty, that writes
// without a condition, or that floods the store while it does not answer.
TEST_CASE("the status is written by readers, conditionally and repeatedly") {
  Fixture host;
  host.controller.OnOrders({Order()}, kUnixTime, kStart);
  CHECK(host.Tick(milliseconds(100), {.is_coordinator = true}).writes.empty());
  const RolloutActions first = host.Tick(milliseconds(200), kReader);
  REQUIRE(first.writes.size() == 1);
  CHECK(first.writes[0].revision == 5);
  CHECK(first.writes[0].status.outcome == RolloutOutcome::kRunning);
  CHECK(first.writes[0].status.target == "v2");
  CHECK(first.writes[0].status.from == std::vector<std::string>{"v1"});
  CHECK(host.Tick(milliseconds(300)).writes.empty());
  host.controller.OnWritten(first.writes[0], false,
                            kStart + milliseconds(1200));
  const RolloutActions again = host.Tick(milliseconds(1300));
  REQUIRE(again.writes.size() == 1);
  host.controller.OnWritten(again.writes[0], true, kStart + seconds(2));
  CHECK(host.Tick(seconds(3)).writes.empty());
  CHECK(host.Tick(seconds(4)).writes.empty());
}

// Guards against the readers of all data centres that write at once.
TEST_CASE("readers of higher rank write later") {
  Fixture host;
  host.controller.OnOrders({Order()}, kUnixTime, kStart);
  const RolloutController::Role third{.reads_store = true, .rank = 2};
  CHECK(host.Tick(milliseconds(100), third).writes.empty());
  CHECK(host.Tick(milliseconds(400), third).writes.empty());
  CHECK(host.Tick(milliseconds(700), third).writes.size() == 1);
}

// Guards against a status `completed` after a verdict, also if the write of
// `completed` was never answered.
TEST_CASE("nothing but the verdict is written once it is known") {
  Fixture host;
  host.controller.OnOrders({Order()}, kUnixTime, kStart);
  host.controller.OnWritten(host.Tick(milliseconds(100)).writes.at(0), false,
                            kStart + seconds(1));
  host.TickUntil(milliseconds(200), seconds(6));
  host.Answer(0, true, 100);
  host.Answer(3, true, 30);
  host.Answer(4, true, 30);
  host.controller.OnWritten(host.Tick(seconds(6)).writes.at(0), false,
                            kStart + milliseconds(6200));
  host.TickUntil(milliseconds(6200), milliseconds(6900));
  const RolloutActions complete = host.Tick(milliseconds(6900));
  REQUIRE(Outcomes(complete) ==
          std::vector<RolloutOutcome>{RolloutOutcome::kCompleted});
  host.controller.OnWritten(complete.writes[0], false, kStart + seconds(7));
  host.Answer(3, false, 60);
  host.Answer(4, false, 60);
  const RolloutActions back = host.Tick(milliseconds(7800));
  CHECK(Outcomes(back) ==
        std::vector<RolloutOutcome>{RolloutOutcome::kRolledBack});
  CHECK_FALSE(
      host.controller.gate().AcceptsGrant(Upstreams()[4], kStart + seconds(8)));
  // The first write was executed late, so that it stands.
  RolloutOrder stored = Order(6);
  stored.status = complete.writes[0].status;
  host.controller.OnOrders({stored}, kUnixTime, kStart + seconds(8));
  CHECK(host.Tick(seconds(9)).writes.empty());
  CHECK(host.controller.gate().Admits(Upstreams()[4], kStart + seconds(60)));
}

// Guards against `completed` while requests run at the old upstreams or while a
// host may still send some there.
TEST_CASE("completion waits for all requests at the old versions") {
  Fixture host;
  host.controller.SetHosts({{.name = "h1", .data_centre = "d1"},
                            {.name = "h2", .data_centre = "d1"},
                            {.name = "h3", .data_centre = "d2"}},
                           kStart + seconds(5));
  host.controller.OnOrders({Order()}, kUnixTime, kStart);
  host.Tick(milliseconds(100));
  host.TickUntil(seconds(2), seconds(6));
  host.Answer(0, true, 100);
  host.Answer(3, true, 30);
  host.Answer(4, true, 30);
  host.running["s"]["v1"] = 1;
  host.Tick(seconds(6));
  const RolloutReport moved =
      host.controller.HostReport("x", {}, kStart + seconds(6));
  REQUIRE(moved.rollouts.at(0).phase == RolloutPhase::kShift);
  const auto phase = [&host] {
    return host.controller.records().at("s").phase;
  };
  host.Tick(milliseconds(6200));
  CHECK(phase() == RolloutPhase::kShift);
  host.running.clear();
  host.Tick(milliseconds(6400));
  CHECK(phase() == RolloutPhase::kShift);
  host.controller.OnHostReport("h2", 2, moved, kStart + milliseconds(6500));
  host.Tick(milliseconds(6600));
  CHECK(phase() == RolloutPhase::kShift);
  RolloutReport far = moved;
  far.rollouts[0].hosts_behind = 1;
  host.controller.OnDataCentreReport("d2", far, kStart + milliseconds(6700));
  host.Tick(milliseconds(6800));
  CHECK(phase() == RolloutPhase::kShift);
  host.controller.OnDataCentreReport("d2", moved, kStart + milliseconds(6900));
  host.Tick(milliseconds(7000));
  CHECK(phase() == RolloutPhase::kComplete);
}

// Guards against `completed` by a coordinator that has heard nobody: one that
// has just taken over, that was paused, or that is cut off.
TEST_CASE("a coordinator completes nothing before it has heard the others") {
  struct Row {
    std::string name;
    // The last tick as a coordinator, if any, before that at 10 s.
    std::optional<seconds> coordinated_until;
    bool hears_itself;
    seconds ticks_until;
  };
  const std::vector<Row> rows = {
      {"takes over", std::nullopt, false, seconds(11)},
      {"takes over and hears itself", std::nullopt, true, seconds(14)},
      {"goes on after a pause", seconds(2), true, seconds(14)},
      {"is cut off", seconds(10), true, seconds(30)}};
  RolloutOrder order = Order(9);
  order.duration = seconds(60);
  order.status = {.outcome = RolloutOutcome::kRunning,
                  .target = "v2",
                  .order = 77,
                  .phase = RolloutPhase::kShift,
                  .from = {"v1"},
                  .began_at = kUnixTime - seconds(7)};
  for (const Row& it : rows) {
    CAPTURE(it.name);
    Fixture host;
    host.controller.SetHosts({{.name = "h1", .data_centre = "d1"},
                              {.name = "h2", .data_centre = "d2"},
                              {.name = "h3", .data_centre = "d2"},
                              {.name = "h4", .data_centre = "d3"}},
                             kStart);
    host.controller.OnOrders({order}, kUnixTime, kStart);
    if (it.coordinated_until) {
      host.TickUntil(milliseconds(100), *it.coordinated_until);
    }
    for (milliseconds time = seconds(10); time < it.ticks_until;
         time += milliseconds(100)) {
      if (it.hears_itself) {
        host.Report(kStart + time);
      }
      host.controller.Tick(kDecider, kUnixTime + time, kStart + time);
    }
    CHECK(host.controller.records().at("s").phase == RolloutPhase::kShift);
  }
}

RolloutOrder ShiftedOrder() {
  RolloutOrder order = Order(9);
  order.status = {.outcome = RolloutOutcome::kRunning,
                  .target = "v2",
                  .order = 77,
                  .phase = RolloutPhase::kShift,
                  .from = {"v1"},
                  .began_at = kUnixTime - seconds(7)};
  return order;
}

// Guards against `completed` because of a host that knows of the shift but
// still sends requests to the old versions.
TEST_CASE("a host has moved once its gate admits only the target") {
  struct Row {
    std::string name;
    milliseconds permission_age;
    bool target_listed;
    std::uint32_t behind;
  };
  const std::vector<Row> rows = {
      {"permitted", milliseconds(100), true, 0},
      {"permission about to run out", milliseconds(2000), true, 1},
      {"no permission", milliseconds(4000), true, 1},
      {"no target", milliseconds(100), false, 1}};
  for (const Row& it : rows) {
    CAPTURE(it.name);
    Fixture host;
    host.controller.OnOrders({ShiftedOrder()}, kUnixTime, kStart);
    host.Tick(milliseconds(100));
    if (!it.target_listed) {
      std::vector<UpstreamEntry> old = Upstreams();
      old.resize(3);
      host.controller.SetUpstreams(old, kUnixTime, kStart);
    }
    const RolloutReport report = host.controller.HostReport(
        "x", {}, kStart + milliseconds(100) + it.permission_age);
    CHECK(report.rollouts.at(0).hosts_behind == it.behind);
  }
}

// Guards against old upstreams that stop while there are none of the target.
TEST_CASE("nothing is completed while the target is not listed") {
  Fixture host;
  // Its time is nearly over, so that few answers are enough.
  RolloutOrder order = ShiftedOrder();
  order.status.began_at = kUnixTime - order.duration * 9 / 10;
  host.controller.OnOrders({order}, kUnixTime, kStart);
  std::vector<UpstreamEntry> old = Upstreams();
  old.resize(3);
  host.controller.SetUpstreams(old, kUnixTime, kStart);
  RolloutState moved{.service = "s",
                     .target = "v2",
                     .order = 77,
                     .phase = RolloutPhase::kShift};
  host.controller.Tick(kDecider, kUnixTime, kStart);
  const MonotonicTime now = kStart + milliseconds(100);
  host.controller.OnHostReport("h1", 1, {.rollouts = {moved}}, now);
  host.controller.Tick(kDecider, kUnixTime, now);
  CHECK(host.controller.records().at("s").phase == RolloutPhase::kShift);
  host.controller.SetUpstreams(Upstreams(), kUnixTime, now);
  host.controller.Tick(kDecider, kUnixTime, now);
  CHECK(host.controller.records().at("s").phase == RolloutPhase::kComplete);
}

// Guards against a verdict, or an early shift, for an order to the version that
// serves already: nothing would be left to serve.
TEST_CASE("the only version of a service is never condemned") {
  RolloutOrder order = Order();
  order.target = "v1";
  for (const bool other_listed : {false, true}) {
    CAPTURE(other_listed);
    Fixture host;
    std::vector<UpstreamEntry> upstreams = Upstreams();
    upstreams.resize(other_listed ? 6 : 3);
    host.controller.SetUpstreams(upstreams, kUnixTime, kStart);
    host.controller.OnOrders({order}, kUnixTime, kStart);
    REQUIRE(host.controller.records().at("s").from.empty());
    host.Answer(0, false, 100);
    host.Answer(1, false, 100);
    host.TickUntil(milliseconds(100), milliseconds(2900));
    CHECK(host.controller.records().at("s").phase == RolloutPhase::kTrial);
    host.TickUntil(milliseconds(2900), milliseconds(4900));
    CHECK((host.controller.records().at("s").phase == RolloutPhase::kTrial) ==
          other_listed);
    host.TickUntil(milliseconds(4900), seconds(14));
    CHECK_FALSE(host.controller.records().at("s").IsCondemned());
    CHECK(host.controller.gate().Admits(upstreams[0], kStart + seconds(14)));
  }
}

// Guards against one host with a wrong clock that ends the trial for all.
TEST_CASE("the age of a known order does not follow the wall clock") {
  Fixture host;
  host.controller.OnOrders({Order()}, kUnixTime, kStart);
  RolloutOrder written = Order(6);
  written.status = {.outcome = RolloutOutcome::kRunning,
                    .target = "v2",
                    .order = 77,
                    .from = {"v1"},
                    .began_at = kUnixTime};
  host.controller.OnOrders({written}, kUnixTime + std::chrono::hours(3),
                           kStart + seconds(1));
  CHECK(host.controller.records().at("s").began_at == kStart);
}

// Guards against the removal of an order that withdraws its successor, of which
// another host has told already.
TEST_CASE("the removal of an old order leaves a newer one") {
  Fixture host;
  host.controller.OnOrders({Order()}, kUnixTime, kStart);
  host.controller.OnSummary({.rollouts = {{.service = "s",
                                           .target = "v2",
                                           .order = 78,
                                           .revision = 8,
                                           .duration = seconds(12),
                                           .from = {"v1"}}}},
                            kStart + milliseconds(100));
  host.controller.OnOrders({}, kUnixTime, kStart + milliseconds(200));
  REQUIRE(host.controller.records().at("s").order == 78);
  CHECK_FALSE(host.controller.records().at("s").is_withdrawn);
}

// Guards against reports that grow with the number of upstreams.
TEST_CASE("the evidence in a report is bounded") {
  Fixture host;
  host.controller.OnOrders({Order()}, kUnixTime, kStart);
  for (int n = 0; n < 200; ++n) {
    UpstreamEntry upstream = Upstreams()[4];
    upstream.id = "new" + std::to_string(n);
    host.controller.OnRequestEnded(
        {.upstream = upstream,
         .answer = {.route = 2, .took = milliseconds(50)}},
        kStart);
  }
  const RolloutReport report = host.controller.HostReport("x", {}, kStart);
  CHECK(report.evidence.size() == 16);
  CHECK(host.controller.TargetAnswersOf(77) == 200);
}

// Guards against a standby that never gets a report of another data centre
// since the coordinator in use has just got one.
TEST_CASE("each receiver gets reports of the data centre") {
  Fixture host;
  host.controller.OnOrders({Order()}, kUnixTime, kStart);
  const MonotonicTime now = kStart + milliseconds(100);
  for (const std::string receiver : {"h7", "h8"}) {
    CAPTURE(receiver);
    CHECK(host.controller.DataCentreReport(receiver, now).rollouts.size() == 1);
    CHECK(host.controller.DataCentreReport(receiver, now).rollouts.empty());
  }
}

// Guards against a host that takes the new version for the old one, or starts
// anew, after all hosts were killed in the middle of an order.
TEST_CASE("a host goes on from the status in the store") {
  RolloutOrder order = Order(9);
  order.status = {.outcome = RolloutOutcome::kRunning,
                  .target = "v2",
                  .order = 77,
                  .phase = RolloutPhase::kShift,
                  .from = {"v1"},
                  .began_at = kUnixTime - seconds(7)};
  Fixture host;
  host.controller.OnOrders({order}, kUnixTime, kStart);
  host.Tick(milliseconds(100));
  const MonotonicTime now = kStart + milliseconds(200);
  CHECK(host.controller.gate().Admits(Upstreams()[4], now));
  CHECK_FALSE(host.controller.gate().Admits(Upstreams()[0], now));
  CHECK(host.controller.records().at("s").began_at == kStart - seconds(7));
}

// Guards against orders that cannot be followed and that disturb others, and
// against a status that was written for an earlier order.
TEST_CASE("odd orders wait or begin anew") {
  Fixture host(false);
  host.controller.OnOrders({Order()}, kUnixTime, kStart);
  CHECK(host.Tick(milliseconds(100)).writes.empty());
  CHECK(host.controller.records().empty());
  host.controller.SetUpstreams(Upstreams(), kUnixTime, kStart);
  CHECK(host.controller.records().at("s").from == std::set<std::string>{"v1"});

  RolloutOrder unknown = Order();
  unknown.name = "other";
  unknown.service = "t";
  RolloutOrder with_old_status = Order(8);
  with_old_status.order = 78;
  with_old_status.status = {.outcome = RolloutOutcome::kRolledBack,
                            .target = "v2",
                            .order = 77,
                            .from = {"v1"}};
  host.controller.OnOrders({unknown, with_old_status}, kUnixTime,
                           kStart + seconds(1));
  CHECK(host.controller.records().size() == 1);
  CHECK(host.controller.records().at("s").order == 78);
  CHECK_FALSE(host.controller.records().at("s").HasEnded());
}

// Guards against a host that hears nothing and goes on with trial requests.
TEST_CASE("permissions run out") {
  Fixture host;
  host.controller.OnOrders({Order()}, kUnixTime, kStart);
  host.Tick(milliseconds(100));
  RolloutGate& gate = host.controller.gate();
  CHECK(gate.AcceptsGrant(Upstreams()[4], kStart + milliseconds(1500)));
  CHECK_FALSE(gate.AcceptsGrant(Upstreams()[4], kStart + milliseconds(1700)));
  CHECK(gate.Admits(Upstreams()[0], kStart + milliseconds(1700)));
}

// Guards against an order that never ends because its version gets too little.
TEST_CASE("a busy service is not moved to a version that never answered") {
  Fixture host;
  host.controller.OnOrders({Order()}, kUnixTime, kStart);
  host.Answer(0, true, 1000);
  host.Tick(milliseconds(100));
  host.Tick(seconds(11));
  CHECK(host.controller.records().at("s").phase == RolloutPhase::kTrial);
  host.Tick(seconds(13));
  CHECK(host.controller.records().at("s").IsCondemned());
}

}  // namespace
}  // namespace flamingogauge
