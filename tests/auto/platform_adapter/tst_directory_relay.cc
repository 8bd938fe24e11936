#include <doctest/doctest.h>

#include <fcntl.h>
#include <sys/socket.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "libs/kernel/boot_clock.h"
#include "platform/platform_fleet_store.h"
#include "plugins/directory/directory_worker.h"
#include "tests/fakes/fake_object_store/fake_object_store.h"
#include "tests/support/free_address.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kTimeLimit{20};
constexpr int kHosts = 6;

// A table that fails all calls while the store refuses this host.
template <typename T>
class RefusableTable : public FleetTable<T> {
 public:
  using Callback = typename FleetTable<T>::Callback;

  RefusableTable(FleetTable<T>& table, const std::atomic<bool>& refused)
      : table_(table), refused_(refused) {}

  void List(std::string after, bool may_be_stale, Callback callback) override {
    if (refused_) {
      callback(Refusal());
      return;
    }
    table_.List(std::move(after), may_be_stale, Guard(std::move(callback)));
  }
  void Watch(std::uint64_t revision,
             milliseconds wait,
             Callback callback) override {
    if (refused_) {
      callback(Refusal());
      return;
    }
    table_.Watch(revision, wait, Guard(std::move(callback)));
  }

 private:
  static Error Refusal() {
    return {.code = ErrorCode::kUnavailable,
            .step = "call",
            .peer = "store",
            .message = "refused"};
  }
  // A watch that was waiting when the refusal began fails too.
  Callback Guard(Callback callback) {
    return [&refused = refused_, callback](Result<FleetPage<T>> page) {
      callback(refused ? Result<FleetPage<T>>(Refusal()) : std::move(page));
    };
  }

  FleetTable<T>& table_;
  const std::atomic<bool>& refused_;
};

// The fake store as one host sees it.
class RefusableStore : public FleetStore {
 public:
  explicit RefusableStore(const std::string& address)
      : store_({.address = address, .call_time_limit = milliseconds(300)}) {}

  FleetTable<RoutingTable>& routing() override { return routing_; }
  FleetTable<UpstreamEntry>& upstreams() override { return upstreams_; }
  FleetTable<HostEntry>& hosts() override { return hosts_; }
  FleetTable<RolloutOrder>& rollouts() override { return rollouts_; }
  void RegisterHost(const HostEntry& host, DoneCallback callback) override {
    store_.RegisterHost(host, std::move(callback));
  }
  void RemoveHost(const std::string& name, DoneCallback callback) override {
    store_.RemoveHost(name, std::move(callback));
  }
  void WriteRolloutStatus(const std::string& name,
                          std::uint64_t revision,
                          const RolloutStatus& status,
                          DoneCallback callback) override {
    store_.WriteRolloutStatus(name, revision, status, std::move(callback));
  }

  void SetRefused(bool refused) { refused_ = refused; }

 private:
  // Declared before the store, which fails the calls in flight when it is
  // destroyed.
  std::atomic<bool> refused_ = false;
  PlatformFleetStore store_;
  RefusableTable<RoutingTable> routing_{store_.routing(), refused_};
  RefusableTable<UpstreamEntry> upstreams_{store_.upstreams(), refused_};
  RefusableTable<HostEntry> hosts_{store_.hosts(), refused_};
  RefusableTable<RolloutOrder> rollouts_{store_.rollouts(), refused_};
};

std::string Manifest(int version) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"r","host":"h.example","pathPrefix":"/a/",)"
         R"("kind":"streaming","resumable":true,"timeoutMs":900,)"
         R"("targetLatencyMs":100,"gapAimMs":50,"priority":3,"maxAttempts":2,)"
         R"("trafficSplit":[{"service":"s","weight":3},)"
         R"({"service":"t","weight":1}]}],)"
         R"("services":[{"name":"s","maxConnections":9,)"
         R"("engine":{"slots":4,"kvCapacityTokens":1000}}],)"
         R"("tenants":[{"name":"acme","apiKeys":["k1","k2"],"priority":1,)"
         R"("unit":"token_stream","plainTokens":7,"ratePerS":5,"burst":6}],)"
         R"("limits":{"maxHeaderBytes":1000,"maxBodyBytes":2000,)"
         R"("headerTimeoutMs":300,"idleTimeoutMs":400}})";
}

std::string Upstream(const std::string& state) {
  return R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":8,)"
         R"("state":")" +
         state + "\"}";
}

// A directory of one host of a data centre.
class Directory {
 public:
  Directory(const std::string& store_address,
            int number,
            std::string relay_address = FreeAddress(SOCK_STREAM),
            milliseconds hosts_interval = milliseconds(300))
      : store_(store_address),
        worker_(
            {.host = {.name = "h" + std::to_string(number),
                      .report_address = "10.0.0.1:1",
                      .data_centre = "z1",
                      .relay_address = std::move(relay_address),
                      .capacity = 1.0 - 0.1 * number},
             .routing_watch_wait = milliseconds(400),
             .relay_wait = milliseconds(200),
             .normal_age = milliseconds(700),
             .upstreams_watch_wait = milliseconds(500),
             .hosts_interval = hosts_interval},
            store_,
            log_,
            metrics_,
            [this](const FleetSnapshot& snapshot) { SetSnapshot(snapshot); }) {
    REQUIRE(worker_.Start());
  }

  bool WaitFor(const std::function<bool(const FleetSnapshot&)>& condition) {
    std::unique_lock<std::mutex> lock(mutex_);
    return changed_.wait_for(
        lock, kTimeLimit, [this, &condition] { return condition(snapshot_); });
  }
  FleetSnapshot snapshot() {
    std::lock_guard<std::mutex> lock(mutex_);
    return snapshot_;
  }
  bool ReadsStore() const {
    return worker_.DumpState().find("\"reads_store\":true") !=
           std::string::npos;
  }
  RefusableStore& store() { return store_; }
  DirectoryWorker& worker() { return worker_; }

 private:
  void SetSnapshot(const FleetSnapshot& snapshot) {
    std::lock_guard<std::mutex> lock(mutex_);
    snapshot_ = snapshot;
    changed_.notify_all();
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  FleetSnapshot snapshot_;
  EventLog log_{{.output = ::open("/dev/null", O_WRONLY)}};
  MetricsRegistry metrics_;
  RefusableStore store_;
  DirectoryWorker worker_;
};

using Directories = std::vector<std::unique_ptr<Directory>>;

Directories StartHosts(const FakeObjectStore& fake, int count) {
  Directories directories;
  for (int n = 0; n < count; ++n) {
    directories.push_back(std::make_unique<Directory>(fake.address(), n));
  }
  return directories;
}

bool HasVersion(const FleetSnapshot& snapshot, std::uint64_t version) {
  return snapshot.routing && snapshot.routing->version == version;
}

int CountReaders(const Directories& directories) {
  int readers = 0;
  for (const auto& it : directories) {
    readers += it->ReadsStore() ? 1 : 0;
  }
  return readers;
}

// Waits until each host has the document and one of them reads the store.
bool WaitUntilSettled(const Directories& directories, std::uint64_t version) {
  for (const auto& it : directories) {
    if (!it->WaitFor([&](const FleetSnapshot& snapshot) {
          return HasVersion(snapshot, version) &&
                 snapshot.hosts->size() >= directories.size();
        })) {
      return false;
    }
  }
  const auto limit = std::chrono::steady_clock::now() + kTimeLimit;
  while (CountReaders(directories) != 1) {
    if (std::chrono::steady_clock::now() > limit) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
  return true;
}

bool WaitForVersion(const Directories& directories, std::uint64_t version) {
  for (const auto& it : directories) {
    if (!it->WaitFor([version](const FleetSnapshot& snapshot) {
          return HasVersion(snapshot, version);
        })) {
      return false;
    }
  }
  return true;
}

// Waits until each host's document was confirmed after `time`.
bool WaitForConfirmation(const Directories& directories, MonotonicTime time) {
  for (const auto& it : directories) {
    if (!it->WaitFor([time](const FleetSnapshot& snapshot) {
          return snapshot.routing_confirmed_at > time;
        })) {
      return false;
    }
  }
  return true;
}

// Guards against calls to the store, which are limited and billed, that grow
// with the number of hosts.
TEST_CASE("one host of a data centre reads the store for all") {
  FakeObjectStore fake;
  fake.Put("config", "main", Manifest(1));
  fake.Put("servers", "a", Upstream("ready"));
  const Directories directories = StartHosts(fake, kHosts);
  REQUIRE(WaitUntilSettled(directories, 1));
  CHECK(directories[0]->ReadsStore());
  // Calls of the start are still in flight.
  std::this_thread::sleep_for(milliseconds(600));
  const std::uint64_t before = fake.call_count();
  std::this_thread::sleep_for(seconds(3));
  // 3 s hold 7.5 watches of the document, 6 of the upstreams and 10 lists of
  // hosts, for all hosts together.
  CHECK(fake.call_count() - before <= 30);
  CHECK(CountReaders(directories) == 1);
  CHECK(WaitForConfirmation(directories, BootTimeNow()));
}

// Guards against fields that are lost on the way from host to host.
TEST_CASE("hosts get the same document and tables as the one that reads") {
  FakeObjectStore fake;
  fake.Put("config", "main", Manifest(1));
  fake.Put("servers", "a", Upstream("ready"));
  const Directories directories = StartHosts(fake, 3);
  REQUIRE(WaitUntilSettled(directories, 1));
  fake.Put("config", "main", Manifest(2));
  fake.Put("servers", "a", Upstream("draining"));
  fake.Put("servers", "b", Upstream("ready"));
  REQUIRE(WaitForVersion(directories, 2));
  for (const auto& it : directories) {
    REQUIRE(it->WaitFor([](const FleetSnapshot& snapshot) {
      return snapshot.upstreams->size() == 2 &&
             snapshot.upstreams->at(0).draining;
    }));
    const RoutingTable& table = *it->snapshot().routing;
    const Route* route = table.FindRoute("h.example", "/a/1");
    REQUIRE(route != nullptr);
    CHECK(route->name == "r");
    CHECK(route->execution_semantics == ExecutionSemantics::kStream);
    CHECK(route->resumable);
    CHECK(route->timeout == milliseconds(900));
    CHECK(route->target_latency == milliseconds(100));
    CHECK(route->max_event_gap == milliseconds(50));
    CHECK(route->priority == 3);
    CHECK(route->max_dispatches == 2);
    REQUIRE(route->services.size() == 2);
    CHECK(route->services[0].service == "s");
    CHECK(route->services[0].weight == 3);
    CHECK(table.services.at("s").max_connections == 9);
    CHECK(table.services.at("s").engine_slots == 4);
    CHECK(table.services.at("s").engine_memory_tokens == 1000);
    for (const char* key : {"k1", "k2"}) {
      const WorkspaceEntry* workspace = table.FindKey(key);
      REQUIRE(workspace != nullptr);
      CHECK(workspace->name == "acme");
      CHECK(workspace->priority == 1);
      CHECK(workspace->counts_tokens);
      CHECK(workspace->plain_tokens == 7);
      CHECK(workspace->rate_per_second == 5);
      CHECK(workspace->burst == 6);
    }
    CHECK(table.limits.max_header_bytes == 1000);
    CHECK(table.limits.max_body_bytes == 2000);
    CHECK(table.limits.header_timeout == milliseconds(300));
    CHECK(table.limits.idle_timeout == milliseconds(400));
    const UpstreamEntry& upstream = it->snapshot().upstreams->at(1);
    CHECK(upstream.id == "b");
    CHECK(upstream.service == "s");
    CHECK(upstream.address == "10.0.0.9:80");
    CHECK(upstream.data_centre == "z");
    CHECK(upstream.slots == 8);
  }
}

// Guards against a data centre that loses the store with its first host.
TEST_CASE("another host takes over from one that is gone") {
  FakeObjectStore fake;
  fake.Put("config", "main", Manifest(1));
  Directories directories = StartHosts(fake, 4);
  REQUIRE(WaitUntilSettled(directories, 1));
  for (std::uint64_t version = 2; version <= 3; ++version) {
    directories.erase(directories.begin());
    const MonotonicTime gone_at = BootTimeNow();
    CHECK(WaitForConfirmation(directories, gone_at));
    // The longest age of a key on these settings is far above this.
    CHECK(BootTimeNow() - gone_at < seconds(3));
    fake.Put("config", "main", Manifest(static_cast<int>(version)));
    CHECK(WaitForVersion(directories, version));
    CHECK(directories[0]->ReadsStore());
  }
}

// Guards against a store that refuses single hosts and thereby cuts them off,
// whichever role they have.
TEST_CASE("hosts that the store refuses learn through another one") {
  struct Case {
    const char* title;
    std::vector<std::size_t> refused;
  };
  for (const Case& it : std::vector<Case>{{"the first host", {0}},
                                          {"the first two hosts", {0, 1}},
                                          {"hosts that do not read", {2, 3}},
                                          {"all but the last", {0, 1, 2}}}) {
    CAPTURE(it.title);
    FakeObjectStore fake;
    fake.Put("config", "main", Manifest(1));
    const Directories directories = StartHosts(fake, 4);
    REQUIRE(WaitUntilSettled(directories, 1));
    for (const std::size_t n : it.refused) {
      directories[n]->store().SetRefused(true);
    }
    const MonotonicTime refused_at = BootTimeNow();
    CHECK(WaitForConfirmation(directories, refused_at + milliseconds(800)));
    CHECK(BootTimeNow() - refused_at < seconds(5));
    fake.Put("config", "main", Manifest(2));
    CHECK(WaitForVersion(directories, 2));
    for (const std::size_t n : it.refused) {
      directories[n]->store().SetRefused(false);
    }
    CHECK(WaitUntilSettled(directories, 2));
  }
}

// Guards against an upstream that left while the first host learned from
// another one, and that comes back when the store serves the first host again:
// requests would be sent to it long after it has left.
TEST_CASE("an upstream that left does not come back with the store") {
  FakeObjectStore fake;
  fake.Put("config", "main", Manifest(1));
  fake.Put("servers", "a", Upstream("ready"));
  fake.Put("servers", "b", Upstream("ready"));
  const Directories directories = StartHosts(fake, 3);
  REQUIRE(WaitUntilSettled(directories, 1));
  directories[0]->store().SetRefused(true);
  const MonotonicTime refused_at = BootTimeNow();
  // Longer than the outage after which missing entries are kept for a while.
  REQUIRE(WaitForConfirmation(directories, refused_at + milliseconds(1500)));
  fake.Remove("servers", "a");
  for (const auto& it : directories) {
    REQUIRE(it->WaitFor([](const FleetSnapshot& snapshot) {
      return snapshot.upstreams->size() == 1;
    }));
  }
  directories[0]->store().SetRefused(false);
  REQUIRE(WaitUntilSettled(directories, 1));
  const MonotonicTime settled_at = BootTimeNow();
  while (BootTimeNow() - settled_at < milliseconds(1500)) {
    for (const auto& it : directories) {
      REQUIRE(it->snapshot().upstreams->size() == 1);
    }
    std::this_thread::sleep_for(milliseconds(5));
  }
}

// Guards against a host that was added and is unknown to the others for as long
// as they do not read the list of hosts, and against a stranger's messages that
// cause calls without bound.
TEST_CASE("a host that is heard of before it is listed has the list read") {
  FakeObjectStore fake;
  fake.Put("config", "main", Manifest(1));
  Directory directory(fake.address(), 0, FreeAddress(SOCK_STREAM),
                      std::chrono::seconds(25));
  REQUIRE(directory.WaitFor([](const FleetSnapshot& snapshot) {
    return HasVersion(snapshot, 1) && snapshot.hosts->size() == 1;
  }));
  // The lists of the start, which are read more often, are over.
  std::this_thread::sleep_for(seconds(5));
  fake.Put("flamingogauge-hosts", "h9",
           R"({"reportAddress":"10.0.0.9:1","dataCentre":"z1"})");
  std::this_thread::sleep_for(milliseconds(500));
  CHECK(directory.snapshot().hosts->size() == 1);
  directory.worker().OnHostUnlisted("h9");
  CHECK(directory.WaitFor([](const FleetSnapshot& snapshot) {
    return snapshot.hosts->size() == 2;
  }));
  const std::uint64_t before = fake.call_count();
  for (int n = 0; n < 100; ++n) {
    directory.worker().OnHostUnlisted("stranger");
    std::this_thread::sleep_for(milliseconds(10));
  }
  // One second holds two or three lists and the usual watches.
  CHECK(fake.call_count() - before <= 12);
}

// Guards against API keys that leak to whoever connects: only listed hosts may
// ask.
TEST_CASE("a process that is not listed gets no document") {
  FakeObjectStore fake;
  fake.Put("config", "main", Manifest(1));
  // The listed address is not the loopback address that questions come from.
  fake.Put("flamingogauge-hosts", "h0",
           R"({"reportAddress":"10.0.0.1:1","dataCentre":"z1",)"
           R"("relayAddress":"10.9.9.9:1","capacity":1.0})");
  RelayNode stranger([](const RelayQuestion& /*question*/,
                        const RelayNode::ReplyCallback& /*reply*/) {});
  REQUIRE(stranger.Start(FreeAddress(SOCK_STREAM)));
  std::atomic<int> questions = 0;
  RelayNode node([&questions](const RelayQuestion& /*question*/,
                              const RelayNode::ReplyCallback& reply) {
    ++questions;
    reply({});
  });
  const std::string address = FreeAddress(SOCK_STREAM);
  REQUIRE(node.Start(address));
  node.SetAllowedAddresses({"10.9.9.9"});
  const auto ask = [&stranger, &address] {
    std::promise<Result<RelayReply>> promise;
    stranger.Ask({.name = "h0", .address = address}, {}, seconds(5),
                 [&promise](Result<RelayReply> reply) {
                   promise.set_value(std::move(reply));
                 });
    return promise.get_future().get();
  };
  Result<RelayReply> refused = ask();
  REQUIRE(refused);
  CHECK(refused.value().is_caller_unknown);
  CHECK(questions == 0);
  node.SetAllowedAddresses({"127.0.0.1"});
  Result<RelayReply> answered = ask();
  REQUIRE(answered);
  CHECK_FALSE(answered.value().is_caller_unknown);
  CHECK(questions == 1);
}

}  // namespace
}  // namespace flamingogauge
