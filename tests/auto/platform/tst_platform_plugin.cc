#include <doctest/doctest.h>

#include <future>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "libs/kernel/plugin_manager.h"
#include "plugins/platform/platform_plugin.h"
#include "plugins/platform/platform_protocol.h"
#include "tests/fakes/fake_platform/fake_platform.h"

namespace flamingogauge {
namespace {

template <typename Value>
std::pair<std::function<void(Result<Value>)>, std::future<Result<Value>>>
MakeWaiter() {
  auto promise = std::make_shared<std::promise<Result<Value>>>();
  auto future = promise->get_future();
  return {[promise](Result<Value> it) { promise->set_value(std::move(it)); },
          std::move(future)};
}

template <typename Value = StoredObject, typename Function>
Result<Value> Wait(Function function) {
  auto waiter = MakeWaiter<Value>();
  function(waiter.first);
  REQUIRE(waiter.second.wait_for(std::chrono::seconds(10)) ==
          std::future_status::ready);
  return waiter.second.get();
}

class PluginFixture {
 public:
  explicit PluginFixture(PlatformSettings settings = {}) {
    settings.address = platform.address();
    manager.Add(std::make_unique<PlatformPlugin>(settings));
    REQUIRE(manager.Start().has_value());
    store =
        manager.registry().Find<ObjectStore>(ObjectStore::kServiceName).value();
    hosts = manager.registry().Find<HostList>(HostList::kServiceName).value();
  }
  Result<StoredObject> Create(const std::string& key,
                              const std::string& value) {
    return Wait([&](auto done) { store->Create(key, value, done); });
  }
  Result<StoredObject> Get(const std::string& key) {
    return Wait([&](auto done) { store->Get(key, done); });
  }
  Result<StoredObject> Update(const std::string& key,
                              const std::string& value,
                              std::uint64_t version) {
    return Wait([&](auto done) { store->Update(key, value, version, done); });
  }

  FakePlatform platform;
  PluginManager manager;
  ObjectStore* store = nullptr;
  HostList* hosts = nullptr;
};

// Guards against keys and values that are altered in transit, and against
// error codes that claims and configuration would misinterpret.
TEST_CASE("PlatformPlugin implements the platform's protocol") {
  PluginFixture fixture;
  for (const std::string key : {"a", "claims/w/s/k ey?&#%25/ü"}) {
    CAPTURE(key);
    const std::string value("\x00\xff\xfe text\n", 9);
    const std::uint64_t version = fixture.Create(key, value).value().version;
    CHECK(fixture.Get(key).value().value == value);
    CHECK(fixture.Create(key, "x").error().code == ErrorCode::kAlreadyExists);
    CHECK(fixture.Update(key, "x", version + 9).error().code ==
          ErrorCode::kVersionMismatch);
    CHECK(fixture.Update(key, "ü", version).value().version > version);
    CHECK(fixture.Get(key).value().value == "ü");
    CHECK(Wait<void>(
              [&](auto done) { fixture.store->Delete(key, version, done); })
              .error()
              .code == ErrorCode::kVersionMismatch);
  }
  CHECK(fixture.Get("absent").error().code == ErrorCode::kNotFound);
  const auto listed = Wait<std::vector<StoredObject>>(
      [&](auto done) { fixture.store->List("claims/", done); });
  REQUIRE(listed.value().size() == 1);
  CHECK(listed.value()[0].key == "claims/w/s/k ey?&#%25/ü");
  fixture.platform.SetHosts({{.host = "h1",
                              .data_centre = "aarhus",
                              .region = "jylland",
                              .peer_address = "127.0.0.1:1",
                              .leaving = true}});
  const auto hosts = Wait<std::vector<ListedHost>>(
      [&](auto done) { fixture.hosts->Fetch(done); });
  REQUIRE(hosts.value().size() == 1);
  CHECK(hosts.value()[0].leaving);
  CHECK(fixture.platform.CallCount("create") == 4);
}

// Guards against watches that do not end when the object changes.
TEST_CASE("PlatformPlugin reports watched changes and timeouts") {
  PluginFixture fixture;
  const std::uint64_t version = fixture.Create("a", "1").value().version;
  auto waiter = MakeWaiter<StoredObject>();
  fixture.store->Watch("a", version, std::chrono::milliseconds(8000),
                       waiter.first);
  CHECK(fixture.Update("a", "2", version).has_value());
  CHECK(waiter.second.get().value().value == "2");
  const auto idle = Wait([&](auto done) {
    fixture.store->Watch("a", version + 1, std::chrono::milliseconds(20), done);
  });
  CHECK(idle.error().code == ErrorCode::kTimeout);
}

// Guards against a lost response that is reported as a failure or hidden by
// silently resending the change on a new connection.
TEST_CASE("PlatformPlugin reports a lost response as an unknown outcome") {
  PluginFixture fixture;
  const std::uint64_t version = fixture.Create("a", "1").value().version;
  fixture.platform.SetFaults({.lost_answers = 1});
  CHECK(fixture.Update("a", "2", version).error().code ==
        ErrorCode::kUnknownOutcome);
  CHECK(fixture.Get("a").value().value == "2");
  fixture.platform.SetFaults({.lost_answers = 1});
  CHECK(fixture.Create("b", "1").error().code == ErrorCode::kUnknownOutcome);
  CHECK(fixture.platform.CallCount("create") == 2);
  const std::uint64_t last = fixture.Get("b").value().version;
  fixture.platform.SetFaults({.lost_answers = 1});
  CHECK(Wait<void>([&](auto done) { fixture.store->Delete("b", last, done); })
            .error()
            .code == ErrorCode::kUnknownOutcome);
  CHECK(fixture.platform.CallCount("delete") == 1);
}

// Guards against calls that hang if the platform is silent or absent, and
// against errors that exclude a change that may have taken effect.
TEST_CASE("PlatformPlugin bounds calls to a failing platform") {
  PluginFixture fixture({.call_time_limit = std::chrono::milliseconds(200)});
  fixture.platform.SetFaults({.outage = true});
  CHECK(fixture.Create("a", "1").error().code == ErrorCode::kUnavailable);
  fixture.platform.SetFaults({.silent = true});
  CHECK(fixture.Create("a", "1").error().code == ErrorCode::kUnknownOutcome);
  CHECK(fixture.Get("a").error().code == ErrorCode::kTimeout);
}

// Guards against a host that exceeds its call budget for the platform.
TEST_CASE(
    "PlatformPlugin rejects calls beyond its budget without sending them") {
  PluginFixture fixture({.calls_per_second = 1});
  CHECK(fixture.Get("a").error().code == ErrorCode::kNotFound);
  CHECK(fixture.Get("a").error().code == ErrorCode::kResourceExhausted);
  CHECK(fixture.platform.CallCount("get") == 1);
}

// Guards against accepting settings that are out of range, and against errors
// that do not name the flag.
TEST_CASE("PlatformPlugin validates its settings") {
  struct Row {
    PlatformSettings settings;
    std::string flag;
  };
  for (const Row& row : {
           Row{{.address = "localhost"}, "--platform_address"},
           Row{{.calls_per_second = 0}, "--platform_calls_per_second"},
           Row{{.connect_time_limit = std::chrono::milliseconds(1)},
               "--platform_connect_time_limit_ms"},
           Row{{.call_time_limit = std::chrono::milliseconds(90000)},
               "--platform_call_time_limit_ms"},
       }) {
    const Result<void> checked = CheckPlatformSettings(row.settings);
    REQUIRE_FALSE(checked.has_value());
    CHECK(checked.error().message.find(row.flag) != std::string::npos);
  }
}

}  // namespace
}  // namespace flamingogauge
