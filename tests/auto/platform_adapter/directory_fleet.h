#ifndef FLAMINGOGAUGE_TESTS_AUTO_PLATFORM_ADAPTER_DIRECTORY_FLEET_H_
#define FLAMINGOGAUGE_TESTS_AUTO_PLATFORM_ADAPTER_DIRECTORY_FLEET_H_

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

// Directories of the hosts of a data centre, on a fake of the platform's store.

namespace flamingogauge {

// The longest time that a test waits for something to happen.
inline constexpr std::chrono::seconds kTimeLimit{20};

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
             std::chrono::milliseconds wait,
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
      : store_({.address = address,
                .call_time_limit = std::chrono::milliseconds(300)}) {}

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

inline std::string Manifest(int version) {
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

inline std::string Upstream(const std::string& state) {
  return R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":8,)"
         R"("state":")" +
         state + "\"}";
}

// A directory of one host of a data centre.
class Directory {
 public:
  Directory(
      const std::string& store_address,
      int number,
      std::string relay_address = FreeAddress(SOCK_STREAM),
      std::chrono::milliseconds hosts_interval = std::chrono::milliseconds(300))
      : store_(store_address),
        worker_(
            {.host = {.name = "h" + std::to_string(number),
                      .report_address = "10.0.0.1:1",
                      .data_centre = "z1",
                      .relay_address = std::move(relay_address),
                      .capacity = 1.0 - 0.1 * number},
             .routing_watch_wait = std::chrono::milliseconds(400),
             .relay_wait = std::chrono::milliseconds(200),
             .normal_age = std::chrono::milliseconds(700),
             .upstreams_watch_wait = std::chrono::milliseconds(500),
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

inline Directories StartHosts(const FakeObjectStore& fake, int count) {
  Directories directories;
  for (int n = 0; n < count; ++n) {
    directories.push_back(std::make_unique<Directory>(fake.address(), n));
  }
  return directories;
}

inline bool HasVersion(const FleetSnapshot& snapshot, std::uint64_t version) {
  return snapshot.routing && snapshot.routing->version == version;
}

inline int CountReaders(const Directories& directories) {
  int readers = 0;
  for (const auto& it : directories) {
    readers += it->ReadsStore() ? 1 : 0;
  }
  return readers;
}

// Waits until each host has the document and one of them reads the store.
inline bool WaitUntilSettled(const Directories& directories,
                             std::uint64_t version) {
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
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

inline bool WaitForVersion(const Directories& directories,
                           std::uint64_t version) {
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
inline bool WaitForConfirmation(const Directories& directories,
                                MonotonicTime time) {
  for (const auto& it : directories) {
    if (!it->WaitFor([time](const FleetSnapshot& snapshot) {
          return snapshot.routing_confirmed_at > time;
        })) {
      return false;
    }
  }
  return true;
}

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_AUTO_PLATFORM_ADAPTER_DIRECTORY_FLEET_H_
