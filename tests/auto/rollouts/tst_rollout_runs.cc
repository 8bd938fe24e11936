#include <doctest/doctest.h>

#include <chrono>
#include <cstdlib>
#include <functional>
#include <string>
#include <vector>

#include "tests/auto/rollouts/rollout_simulation.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kRunTime{26000};
constexpr double kExposureShare = 0.1;
constexpr double kExposureRequests = 50;

std::uint64_t FirstSeed() {
  const char* text = std::getenv("FLAMINGOGAUGE_SEED");
  return text != nullptr ? std::stoull(text) : 1;
}

int SeedCount(int otherwise) {
  const char* text = std::getenv("FLAMINGOGAUGE_SEEDS");
  return text != nullptr ? std::atoi(text) : otherwise;
}

struct Fault {
  std::string name;
  RolloutSimulationOptions options;
  std::function<void(RolloutSimulation&)> inject;
};

std::vector<Fault> Faults() {
  const auto nothing = [](RolloutSimulation&) {};
  std::vector<Fault> faults = {
      {"none", {}, nothing},
      {"lossy", {.lost = 0.3, .late = 0.3}, nothing},
      {"answers lost", {.unanswered_writes = 0.6}, nothing},
      {"failures everywhere", {.failures = 0.15}, nothing},
      {"a broken new upstream", {.broken_upstreams = 1}, nothing}};
  const auto add = [&faults](const std::string& name,
                             std::function<void(RolloutSimulation&)> inject) {
    faults.push_back({name, {}, std::move(inject)});
  };
  add("writers killed", [](RolloutSimulation& run) {
    for (int n = 1; n < 16; ++n) {
      run.At(milliseconds(1000 + 900 * n), [&run] { run.KillWriter(); });
    }
  });
  add("all hosts killed", [](RolloutSimulation& run) {
    run.At(seconds(4), [&run] { run.KillHosts(99, seconds(1)); });
  });
  add("most hosts killed in turn", [](RolloutSimulation& run) {
    for (int n = 1; n < 6; ++n) {
      run.At(seconds(2 * n), [&run] { run.KillHosts(7, seconds(1)); });
    }
  });
  add("store away", [](RolloutSimulation& run) {
    run.At(milliseconds(1500), [&run] { run.SetStoreAway(true); });
    run.At(seconds(8), [&run] { run.SetStoreAway(false); });
  });
  add("burst", [](RolloutSimulation& run) {
    run.At(seconds(3), [&run] { run.SetLoad(1.8); });
    run.At(seconds(9), [&run] { run.SetLoad(1); });
  });
  add("a data centre is cut off", [](RolloutSimulation& run) {
    run.At(seconds(2), [&run] { run.CutDataCentre(1, true); });
    run.At(seconds(9), [&run] { run.CutDataCentre(1, false); });
  });
  return faults;
}

struct Version {
  std::string name;
  VersionKind kind;
};
const std::vector<Version> kBadVersions = {
    {"errors", VersionKind::kErrors},
    {"slow", VersionKind::kSlow},
    {"late", VersionKind::kLate},
    {"under load", VersionKind::kUnderLoad},
    {"one route", VersionKind::kOneRoute}};

// Guards against bad versions that get more requests than permitted, or that
// are not sent back, whatever fails meanwhile.
TEST_CASE("bad versions are sent back within the bounds") {
  const int seeds = SeedCount(3);
  for (const Version& version : kBadVersions) {
    for (const Fault& fault : Faults()) {
      for (int n = 0; n < seeds; ++n) {
        RolloutSimulationOptions options = fault.options;
        options.version = version.kind;
        options.seed = FirstSeed() + static_cast<std::uint64_t>(n);
        RolloutSimulation run(options);
        fault.inject(run);
        run.Run(kRunTime);
        const RolloutSimulation::Result& result = run.result();
        CAPTURE(version.name);
        CAPTURE(fault.name);
        CAPTURE(options.seed);
        CAPTURE(run.Events());
        CHECK(static_cast<double>(result.target_requests) <=
              kExposureShare * static_cast<double>(result.requests) +
                  kExposureRequests);
        CHECK(result.requests_after_rollback == 0);
        CHECK(result.outcome == RolloutOutcome::kRolledBack);
        CHECK(result.ended_after <= options.duration);
        CHECK(result.final_outcomes == 1);
      }
    }
  }
}

// Guards against good versions that are sent back or never completed, and
// against requests that are cut off when the old upstreams stop.
TEST_CASE("good versions are completed in time and cut nothing") {
  const int seeds = SeedCount(6);
  for (const Fault& fault : Faults()) {
    for (int n = 0; n < seeds; ++n) {
      RolloutSimulationOptions options = fault.options;
      options.seed = FirstSeed() + static_cast<std::uint64_t>(n);
      RolloutSimulation run(options);
      fault.inject(run);
      run.Run(kRunTime);
      const RolloutSimulation::Result& result = run.result();
      CAPTURE(fault.name);
      CAPTURE(options.seed);
      CAPTURE(run.Events());
      CHECK(result.outcome == RolloutOutcome::kCompleted);
      CHECK(result.ended_after <= options.duration);
      CHECK(result.cut_requests == 0);
      CHECK(result.final_outcomes == 1);
    }
  }
}

// Guards against calls and messages that grow with time or that go on without
// an order.
TEST_CASE("an order costs few writes, and nothing when it has ended") {
  RolloutSimulation run({});
  run.Run(milliseconds(900));
  CHECK(run.result().messages_with_rollouts == 0);
  run.Run(seconds(28));
  CHECK(run.result().outcome == RolloutOutcome::kCompleted);
  CHECK(run.result().store_writes <= 12);
  const std::uint64_t messages = run.result().messages_with_rollouts;
  run.Run(seconds(40));
  CHECK(run.result().messages_with_rollouts == messages);
}

// Guards against requests to a version whose order was taken back.
TEST_CASE("an order that is taken back ends the trial") {
  RolloutSimulation run({});
  run.At(seconds(5), [&run] { run.RemoveOrder(); });
  run.Run(seconds(7));
  CHECK(run.result().target_requests_ever > 20);
  const std::uint64_t sent = run.result().target_requests_ever;
  run.Run(seconds(20));
  CHECK(run.result().target_requests_ever == sent);
  CHECK(run.result().outcome == RolloutOutcome::kNone);
}

// Guards against a second order that inherits the verdict on the first.
TEST_CASE("a second order is judged anew") {
  RolloutSimulation run({.version = VersionKind::kErrors});
  run.At(seconds(10), [&run] { run.WriteOrder("v2"); });
  run.Run(kRunTime);
  CHECK(run.result().final_outcomes == 2);
  CHECK(run.result().outcome == RolloutOutcome::kRolledBack);
}

// Guards against services with few requests or few upstreams that are never
// moved.
TEST_CASE("small services are moved as well") {
  for (const double rate : {0.0, 2.0, 40.0}) {
    CAPTURE(rate);
    RolloutSimulation run(
        {.old_upstreams = 3, .new_upstreams = 3, .requests_per_second = rate});
    run.Run(kRunTime);
    CAPTURE(run.Events());
    CHECK(run.result().outcome == RolloutOutcome::kCompleted);
    CHECK(run.result().cut_requests == 0);
  }
}

// Guards against a bad version of a service with few requests that is completed
// in the moment between the shift and the verdict.
TEST_CASE("a bad version of a small service is not completed") {
  for (const double rate : {20.0, 40.0}) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      CAPTURE(rate);
      CAPTURE(seed);
      RolloutSimulation run({.seed = seed,
                             .version = VersionKind::kErrors,
                             .old_upstreams = 2,
                             .new_upstreams = 2,
                             .requests_per_second = rate});
      run.Run(kRunTime);
      CAPTURE(run.Events());
      CHECK(run.result().outcome == RolloutOutcome::kRolledBack);
    }
  }
}

}  // namespace
}  // namespace flamingogauge
