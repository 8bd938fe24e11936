#include <doctest/doctest.h>

#include <fcntl.h>
#include <sys/socket.h>

#include <chrono>
#include <condition_variable>
#include <ctime>
#include <functional>
#include <mutex>
#include <string>

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

std::string Manifest(int version) {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[]})";
}

std::string Upstream(const std::string& state) {
  return R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":8,)"
         R"("state":")" +
         state + "\"}";
}

// Directory worker that watches a fake object store.
class Directory {
 public:
  explicit Directory(const FakeObjectStore& fake)
      : store_(
            {.address = fake.address(), .call_time_limit = milliseconds(200)}),
        worker_(
            {.host = {.name = "h1", .report_address = "10.0.0.1:1"},
             .routing_watch_wait = milliseconds(100),
             .upstreams_watch_wait = milliseconds(100)},
            store_,
            log_,
            metrics_,
            [this](const FleetSnapshot& snapshot) { SetSnapshot(snapshot); }) {
    REQUIRE(worker_.Start());
  }

  // Waits until a snapshot satisfies the condition.
  bool WaitFor(const std::function<bool(const FleetSnapshot&)>& condition) {
    std::unique_lock<std::mutex> lock(mutex_);
    return changed_.wait_for(
        lock, kTimeLimit, [this, &condition] { return condition(snapshot_); });
  }
  std::string Metrics() const { return metrics_.Expose(); }
  FleetSnapshot snapshot() {
    std::lock_guard<std::mutex> lock(mutex_);
    return snapshot_;
  }

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
  PlatformFleetStore store_;
  DirectoryWorker worker_;
};

bool HasVersion(const FleetSnapshot& snapshot, std::uint64_t version) {
  return snapshot.routing && snapshot.routing->version == version;
}

// Guards against a host that keeps an outdated manifest or upstream list after
// the store was unavailable, compacted its history or lost responses.
TEST_CASE("a directory catches up after each store fault") {
  for (const StoreFault fault :
       {StoreFault::kUnavailable, StoreFault::kTooManyCalls,
        StoreFault::kSilent, StoreFault::kLosesAnswers}) {
    CAPTURE(static_cast<int>(fault));
    FakeObjectStore fake;
    fake.Put("config", "main", Manifest(1));
    fake.Put("servers", "a", Upstream("ready"));
    Directory directory(fake);
    REQUIRE(directory.WaitFor([](const FleetSnapshot& it) {
      return HasVersion(it, 1) && it.upstreams->size() == 1;
    }));
    fake.SetFault(fault);
    fake.Put("config", "main", Manifest(2));
    fake.Put("servers", "a", Upstream("draining"));
    fake.Put("servers", "b", Upstream("ready"));
    fake.Compact();
    fake.SetFault(StoreFault::kNone);
    CHECK(directory.WaitFor([](const FleetSnapshot& it) {
      return HasVersion(it, 2) && it.upstreams->size() == 2 &&
             it.upstreams->at(0).draining;
    }));
  }
}

// Guards against an odd entry of another writer that keeps a host from reading
// the list when it starts, and from following it later.
TEST_CASE("a directory follows its tables past odd entries") {
  FakeObjectStore fake;
  fake.Put("config", "main", Manifest(1));
  fake.Put("servers", "a", Upstream("ready"));
  fake.Put("servers", "odd-1", "1e999");
  Directory directory(fake);
  REQUIRE(directory.WaitFor([](const FleetSnapshot& it) {
    return HasVersion(it, 1) && it.upstreams->size() == 1;
  }));
  fake.Put("servers", "odd-2", R"("\udcff")");
  fake.Put("servers", "b", Upstream("ready"));
  fake.Put("servers", "a", Upstream("draining"));
  CHECK(directory.WaitFor([](const FleetSnapshot& it) {
    return it.upstreams->size() == 2 && it.upstreams->at(0).draining;
  }));
  // An entry that becomes unreadable names no upstream any more.
  fake.Put("servers", "b", "1e999");
  CHECK(directory.WaitFor(
      [](const FleetSnapshot& it) { return it.upstreams->size() == 1; }));
  CHECK(directory.Metrics().find(
            "flamingogauge_entries_left_out_total{table=\"upstreams\"}") !=
        std::string::npos);
}

// Guards against API keys that stay trusted although no read confirms them.
TEST_CASE("the confirmation time stands still while the store is unavailable") {
  FakeObjectStore fake;
  fake.Put("config", "main", Manifest(1));
  Directory directory(fake);
  REQUIRE(directory.WaitFor(
      [](const FleetSnapshot& it) { return HasVersion(it, 1); }));
  fake.SetFault(StoreFault::kUnavailable);
  const MonotonicTime fault_at = BootTimeNow();
  std::this_thread::sleep_for(milliseconds(500));
  CHECK(directory.snapshot().routing_confirmed_at <= fault_at);
  fake.SetFault(StoreFault::kNone);
  CHECK(directory.WaitFor([fault_at](const FleetSnapshot& it) {
    return it.routing_confirmed_at > fault_at;
  }));
}

// Guards against a read of an older manifest version that reverts an applied
// change or confirms API keys.
TEST_CASE("an older manifest version is neither applied nor confirms keys") {
  FakeObjectStore fake;
  fake.Put("config", "main", Manifest(5));
  Directory directory(fake);
  REQUIRE(directory.WaitFor(
      [](const FleetSnapshot& it) { return HasVersion(it, 5); }));
  fake.Put("config", "main", Manifest(4));
  const MonotonicTime changed_at = BootTimeNow();
  std::this_thread::sleep_for(milliseconds(600));
  CHECK(HasVersion(directory.snapshot(), 5));
  CHECK(directory.snapshot().routing_confirmed_at <= changed_at);
  fake.Put("config", "main", Manifest(6));
  CHECK(directory.WaitFor(
      [](const FleetSnapshot& it) { return HasVersion(it, 6); }));
}

// Guards against a host that stays unknown to the others because the store was
// unavailable when it started.
TEST_CASE("a host registers itself once the store becomes available") {
  FakeObjectStore fake;
  fake.SetFault(StoreFault::kUnavailable);
  Directory directory(fake);
  std::this_thread::sleep_for(milliseconds(100));
  fake.SetFault(StoreFault::kNone);
  CHECK(directory.WaitFor([](const FleetSnapshot& it) {
    return it.hosts && it.hosts->size() == 1 && it.hosts->at(0).name == "h1";
  }));
}

// Guards against a directory that spins while it waits: for the other hosts to
// register at a first start, or for a store that is away.
TEST_CASE("a waiting directory takes no processor time") {
  for (const bool first_start : {false, true}) {
    CAPTURE(first_start);
    FakeObjectStore fake;
    fake.SetFault(StoreFault::kUnavailable);
    PlatformFleetStore store({.address = fake.address()});
    EventLog log({.output = ::open("/dev/null", O_WRONLY)});
    MetricsRegistry metrics;
    DirectoryWorker worker({.host = {.name = "h1",
                                     .report_address = "10.0.0.1:1",
                                     .relay_address = FreeAddress(SOCK_STREAM)},
                            .first_start = first_start},
                           store, log, metrics,
                           [](const FleetSnapshot& /*snapshot*/) {});
    REQUIRE(worker.Start());
    const std::clock_t before = std::clock();
    std::this_thread::sleep_for(milliseconds(1000));
    const double used = static_cast<double>(std::clock() - before) /
                        static_cast<double>(CLOCKS_PER_SEC);
    CHECK(used < 0.3);
  }
}

}  // namespace
}  // namespace flamingogauge
