#include <doctest/doctest.h>

#include <fcntl.h>

#include <chrono>
#include <condition_variable>
#include <functional>
#include <future>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "platform/platform_fleet_store.h"
#include "platform/rollout_decoder.h"
#include "plugins/directory/directory_worker.h"
#include "tests/fakes/fake_object_store/fake_object_store.h"

namespace flamingogauge {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kOrder[] = R"({"service":"s","target":"v2","durationS":12})";

json Object(const std::string& spec, const std::string& status = "null") {
  return json::parse(
      R"({"metadata":{"name":"s","revision":9,"createRevision":7},"spec":)" +
      spec + R"(,"status":)" + status + "}");
}

// Guards against orders of another writer that end the process or that are
// followed although they say nothing to follow.
TEST_CASE("an order is decoded if it says what to do") {
  struct Row {
    std::string spec;
    bool is_usable;
  };
  const std::vector<Row> rows = {
      {kOrder, true},
      {R"({"service":"s","target":"v2","durationS":0.5,"more":{}})", true},
      {R"({"target":"v2","durationS":12})", false},
      {R"({"service":"s","durationS":12})", false},
      {R"({"service":"s","target":"v2"})", false},
      {R"({"service":"s","target":"v2","durationS":-3})", false},
      {R"({"service":"s","target":"v2","durationS":"12"})", false},
      {R"({"service":"s","target":2,"durationS":12})", false},
      {R"({"service":"s","target":"v2","durationS":1e300})", true},
      {R"("text")", false},
      {"null", false},
      {"[1]", false}};
  for (const Row& it : rows) {
    CAPTURE(it.spec);
    CHECK((DecodeRollout("s", Object(it.spec)) != nullptr) == it.is_usable);
  }
  CHECK(DecodeRollout("s", json::parse(R"({"spec":{}})")) == nullptr);
  const auto order = DecodeRollout("s", Object(kOrder));
  CHECK(order->service == "s");
  CHECK(order->target == "v2");
  CHECK(order->duration == seconds(12));
  CHECK(order->revision == 9);
  CHECK(order->status == RolloutStatus{});
}

// Guards against hosts that lose what they have written, and against a status
// of another writer that is taken for ours.
TEST_CASE("a status is read as it was written") {
  for (const RolloutOutcome outcome :
       {RolloutOutcome::kRunning, RolloutOutcome::kCompleted,
        RolloutOutcome::kRolledBack}) {
    const RolloutStatus status{.outcome = outcome,
                               .target = "v2",
                               .order = 0xfedcba9876543210ULL,
                               .phase = RolloutPhase::kShift,
                               .from = {"v1", "v0"},
                               .began_at = milliseconds(1796553600123)};
    const json encoded = EncodeRolloutStatus(status);
    CHECK(DecodeRollout("s", Object(kOrder, encoded.dump()))->status == status);
  }
  CHECK(EncodeRolloutStatus({.outcome = RolloutOutcome::kRolledBack})
            .at("state") == "rolled_back");
  for (const char* odd : {R"({"state":"other"})", R"({"state":1,"from":3})",
                          R"("running")", R"([])"}) {
    CAPTURE(odd);
    const auto order = DecodeRollout("s", Object(kOrder, odd));
    REQUIRE(order);
    CHECK(order->status.outcome == RolloutOutcome::kNone);
  }
}

// Guards against a new order that is taken for an earlier one of its name.
TEST_CASE("orders of one name are told apart") {
  const auto first = DecodeRollout("s", Object(kOrder));
  const auto other_target = DecodeRollout(
      "s", Object(R"({"service":"s","target":"v3","durationS":12})"));
  json created_again = Object(kOrder);
  created_again["metadata"]["createRevision"] = 8;
  json changed = Object(kOrder, R"({"state":"running","target":"v2"})");
  changed["metadata"]["revision"] = 10;
  CHECK(first->order != other_target->order);
  CHECK(first->order != DecodeRollout("s", created_again)->order);
  CHECK(first->order == DecodeRollout("s", changed)->order);
}

Result<void> Write(FleetStore& store,
                   std::uint64_t revision,
                   RolloutOutcome outcome) {
  std::promise<Result<void>> promise;
  store.WriteRolloutStatus("s/1", revision,
                           {.outcome = outcome, .target = "v2"},
                           [&promise](Result<void> result) {
                             promise.set_value(std::move(result));
                           });
  return promise.get_future().get();
}

// Guards against two hosts that both end an order, each its own way.
TEST_CASE("a status is written only over the revision that was read") {
  FakeObjectStore fake;
  fake.Put("rollouts", "s/1", kOrder);
  PlatformFleetStore store(
      {.address = fake.address(), .call_time_limit = milliseconds(400)});
  const std::uint64_t revision = fake.revision();
  CHECK(Write(store, revision, RolloutOutcome::kCompleted));
  const Result<void> second =
      Write(store, revision, RolloutOutcome::kRolledBack);
  REQUIRE_FALSE(second);
  CHECK(second.error().code == ErrorCode::kAlreadyExists);
  CHECK(json::parse(fake.Status("rollouts", "s/1")).at("state") == "completed");
  fake.SetFault(StoreFault::kLosesAnswers);
  CHECK_FALSE(Write(store, fake.revision(), RolloutOutcome::kRunning));
}

// Collects the orders that a directory publishes.
class OrderListener {
 public:
  void OnSnapshot(const FleetSnapshot& snapshot) {
    std::lock_guard<std::mutex> lock(mutex_);
    snapshot_ = snapshot;
    changed_.notify_all();
  }
  bool WaitFor(const std::function<bool(const FleetSnapshot&)>& condition) {
    std::unique_lock<std::mutex> lock(mutex_);
    return changed_.wait_for(
        lock, seconds(20), [this, &condition] { return condition(snapshot_); });
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  FleetSnapshot snapshot_;
};

DirectorySettings SettingsWith(bool follows_rollouts) {
  return {.host = {.name = "h1", .report_address = "10.0.0.1:1"},
          .routing_watch_wait = milliseconds(100),
          .upstreams_watch_wait = milliseconds(100),
          .follows_rollouts = follows_rollouts,
          .rollouts_watch_wait = milliseconds(100)};
}

// Guards against orders that are missed: beside odd ones, after changes, after
// their removal, and after the store has lost its history.
TEST_CASE("a directory follows the orders") {
  FakeObjectStore fake;
  fake.Put("config", "main", R"({"version":1,"routes":[]})");
  fake.Put("rollouts", "odd", "1e999");
  fake.Put("rollouts", "s", kOrder);
  EventLog log({.output = ::open("/dev/null", O_WRONLY)});
  MetricsRegistry metrics;
  PlatformFleetStore store(
      {.address = fake.address(), .call_time_limit = milliseconds(200)});
  OrderListener listener;
  DirectoryWorker worker(
      SettingsWith(true), store, log, metrics,
      [&listener](const FleetSnapshot& it) { listener.OnSnapshot(it); });
  REQUIRE(worker.Start());
  CHECK(listener.WaitFor([](const FleetSnapshot& it) {
    return it.reads_store && it.rollouts && it.rollouts->size() == 1 &&
           it.rollouts->front().target == "v2";
  }));
  fake.Put("rollouts", "s", R"({"service":"s","target":"v3","durationS":12})");
  CHECK(listener.WaitFor([](const FleetSnapshot& it) {
    return it.rollouts->size() == 1 && it.rollouts->front().target == "v3";
  }));
  fake.Remove("rollouts", "s");
  fake.Compact();
  CHECK(listener.WaitFor(
      [](const FleetSnapshot& it) { return it.rollouts->empty(); }));
}

// Guards against calls to the store in deployments without roll-outs.
TEST_CASE("a directory does not read orders unless it is told to") {
  FakeObjectStore fake;
  fake.Put("config", "main", R"({"version":1,"routes":[]})");
  fake.Put("rollouts", "s", kOrder);
  EventLog log({.output = ::open("/dev/null", O_WRONLY)});
  MetricsRegistry metrics;
  PlatformFleetStore store(
      {.address = fake.address(), .call_time_limit = milliseconds(200)});
  OrderListener listener;
  DirectoryWorker worker(
      SettingsWith(false), store, log, metrics,
      [&listener](const FleetSnapshot& it) { listener.OnSnapshot(it); });
  REQUIRE(worker.Start());
  CHECK(listener.WaitFor([](const FleetSnapshot& it) {
    return it.routing != nullptr && it.hosts && !it.hosts->empty();
  }));
  CHECK(metrics.Expose().find("table=\"rollouts\"") == std::string::npos);
}

}  // namespace
}  // namespace flamingogauge
