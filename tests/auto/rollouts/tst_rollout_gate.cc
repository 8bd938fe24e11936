#include <doctest/doctest.h>

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "libs/rollouts/rollout_gate.h"

namespace flamingogauge {
namespace {

using std::chrono::seconds;
using Mode = GateRule::Mode;

const MonotonicTime kStart = MonotonicTime() + std::chrono::hours(1);

UpstreamEntry Upstream(const std::string& version,
                       int number,
                       const std::string& data_centre = "d1") {
  return {.id = version + "-" + std::to_string(number),
          .service = "s",
          .data_centre = data_centre,
          .version = version,
          .slots = 4,
          .started_at_ms = version == "v1" ? 1 : 2};
}

std::vector<UpstreamEntry> Upstreams(int old_count, int new_count) {
  std::vector<UpstreamEntry> upstreams;
  for (int n = 0; n < old_count; ++n) {
    upstreams.push_back(Upstream("v1", n));
  }
  for (int n = 0; n < new_count; ++n) {
    upstreams.push_back(Upstream("v2", n));
  }
  return upstreams;
}

// Guards against requests to a version that is not to get any, and against the
// refusal of all upstreams of a service.
TEST_CASE("the gate admits versions by rule and by what is listed") {
  struct Row {
    std::string name;
    int old_listed;
    int new_listed;
    std::optional<GateRule> rule;
    bool admits_old;
    bool admits_new;
    bool accepts_new;
  };
  const auto rule = [](Mode mode, bool is_bad, seconds permitted_for) {
    return GateRule{.order = 1,
                    .target = "v2",
                    .from = {"v1"},
                    .mode = mode,
                    .is_bad = is_bad,
                    .permitted_until = kStart + permitted_for};
  };
  const std::vector<Row> rows = {
      {"no order, one version", 2, 0, std::nullopt, true, false, false},
      {"no order, two versions", 2, 2, std::nullopt, true, false, false},
      {"no permission", 2, 2, rule(Mode::kOld, false, seconds(1)), true, false,
       false},
      {"trial", 2, 2, rule(Mode::kTrial, false, seconds(1)), true, false, true},
      {"trial, permission over", 2, 2, rule(Mode::kTrial, false, seconds(-1)),
       true, false, false},
      {"trial without old upstreams", 0, 2,
       rule(Mode::kTrial, false, seconds(1)), false, true, true},
      {"shift", 2, 2, rule(Mode::kTarget, false, seconds(1)), false, true,
       true},
      {"shift, permission over", 2, 2, rule(Mode::kTarget, false, seconds(-1)),
       true, false, false},
      {"shift without new upstreams", 2, 0,
       rule(Mode::kTarget, false, seconds(1)), true, false, true},
      {"bad", 2, 2, rule(Mode::kTarget, true, seconds(1)), true, false, false},
      {"bad and alone", 0, 2, rule(Mode::kTarget, true, seconds(1)), false,
       false, false}};
  for (const Row& it : rows) {
    CAPTURE(it.name);
    RolloutGate gate({.data_centre = "d1"});
    gate.SetUpstreams(Upstreams(it.old_listed, it.new_listed));
    gate.SetRule("s", it.rule);
    if (it.old_listed > 0) {
      CHECK(gate.Admits(Upstream("v1", 0), kStart) == it.admits_old);
    }
    CHECK(gate.Admits(Upstream("v2", 0), kStart) == it.admits_new);
    CHECK(gate.AcceptsGrant(Upstream("v2", 0), kStart) == it.accepts_new);
  }
}

// Guards against a service without any admitted upstream after a verdict that
// another host passed on the only known version.
TEST_CASE("a bad target serves if it replaces nothing") {
  RolloutGate gate({.data_centre = "d1"});
  gate.SetUpstreams(Upstreams(0, 2));
  gate.SetRule("s", GateRule{.order = 1, .target = "v2", .is_bad = true});
  CHECK(gate.Admits(Upstream("v2", 0), kStart));
  CHECK(gate.AcceptsGrant(Upstream("v2", 0), kStart));
}

// Guards against services that are not served since nothing is known of them.
TEST_CASE("versions of which nothing is known serve if they are alone") {
  RolloutGate gate({.data_centre = "d1"});
  CHECK(gate.Admits(Upstream("v7", 0), kStart));
  gate.SetUpstreams({Upstream("v1", 0), Upstream("v2", 0)});
  CHECK_FALSE(gate.Admits(Upstream("v2", 0), kStart));
  gate.SetUpstreams({Upstream("v2", 0)});
  CHECK(gate.Admits(Upstream("v2", 0), kStart));
}

// Guards against a process that starts in the middle of a roll-out and sends
// requests to old upstreams that stop at any moment.
TEST_CASE("a gate may wait to hear of orders") {
  RolloutGate gate({.data_centre = "d1"});
  gate.SetUpstreams({Upstream("v1", 0)});
  gate.WaitForRulesUntil(kStart + seconds(1));
  CHECK(gate.Admits(Upstream("v1", 0), kStart));
  gate.SetUpstreams({Upstream("v1", 0), Upstream("v2", 0)});
  CHECK_FALSE(gate.Admits(Upstream("v1", 0), kStart));
  CHECK(gate.Admits(Upstream("v1", 0), kStart + seconds(1)));
}

// Guards against a sum of trial requests above the permitted share, however
// requests and priorities are spread over processes, and against priorities
// that are never tried.
TEST_CASE("each process keeps its trial requests below the share") {
  constexpr double kShare = 0.04;
  constexpr int kProcesses = 20;
  constexpr int kRequests = 2000;
  double all = 0;
  double trials = 0;
  std::map<int, int> by_priority;
  for (int process = 0; process < kProcesses; ++process) {
    RolloutGate gate({.data_centre = "d1", .trial_share = kShare});
    gate.SetUpstreams(Upstreams(5, 5));
    gate.SetRule(
        "s",
        GateRule{
            .order = 1, .target = "v2", .from = {"v1"}, .mode = Mode::kTrial});
    for (int n = 0; n < kRequests / (process + 1); ++n) {
      const int priority = n % 10 == 0 ? 0 : 1;
      const auto ids = gate.TrialUpstreams("s", priority, kStart);
      by_priority[priority] += ids.empty() ? 0 : 1;
      trials += ids.empty() ? 0 : 1;
      ++all;
      gate.OnPlaced(ids.empty() ? Upstream("v1", 0) : Upstream("v2", 0),
                    priority, kStart);
      CHECK(trials <= all * kShare);
    }
  }
  CHECK(trials >= all * kShare * 0.8);
  // A tenth of the requests has priority 0.
  CHECK(by_priority[0] >= trials * 0.3);
}

// Guards against trial requests that are spread so thin that an upstream which
// is bad only under load is never loaded.
TEST_CASE("trial requests go in batches to few upstreams of the region") {
  RolloutGate gate({.data_centre = "d1",
                    .regions = {{"d1", "r1"}, {"d2", "r1"}, {"d3", "r2"}}});
  std::vector<UpstreamEntry> upstreams = Upstreams(4, 0);
  for (int n = 0; n < 30; ++n) {
    upstreams.push_back(Upstream("v2", n, "d" + std::to_string(1 + n % 3)));
  }
  gate.SetUpstreams(upstreams);
  gate.SetRule(
      "s",
      GateRule{
          .order = 1, .target = "v2", .from = {"v1"}, .mode = Mode::kTrial});
  std::set<std::string> used;
  int batches = 0;
  bool was_trial = false;
  int trials = 0;
  for (int n = 0; n < 1000; ++n) {
    const auto ids = gate.TrialUpstreams("s", 0, kStart);
    if (!ids.empty()) {
      used.insert(ids.begin(), ids.end());
      batches += was_trial ? 0 : 1;
      ++trials;
    }
    was_trial = !ids.empty();
    gate.OnPlaced(was_trial ? Upstream("v2", 0) : Upstream("v1", 0), 0, kStart);
  }
  CHECK(used.size() == 3);
  for (const std::string& it : used) {
    CHECK(std::stoi(it.substr(3)) % 3 != 2);
  }
  REQUIRE(batches > 0);
  CHECK(trials / batches >= 3);
}

}  // namespace
}  // namespace flamingogauge
