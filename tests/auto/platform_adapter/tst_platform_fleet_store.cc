#include <doctest/doctest.h>

#include <chrono>
#include <future>
#include <memory>
#include <string>

#include "platform/platform_fleet_store.h"
#include "tests/fakes/fake_object_store/fake_object_store.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

using UpstreamPage = Result<FleetPage<UpstreamEntry>>;

const char kUpstream[] =
    R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":8,"state":"ready"})";

PlatformFleetStoreOptions OptionsFor(const FakeObjectStore& fake) {
  return {.address = fake.address(), .call_time_limit = milliseconds(400)};
}

UpstreamPage List(FleetStore& store, const std::string& after = "") {
  std::promise<UpstreamPage> promise;
  store.upstreams().List(after, false, [&promise](UpstreamPage page) {
    promise.set_value(std::move(page));
  });
  return promise.get_future().get();
}

UpstreamPage Watch(FleetStore& store,
                   std::uint64_t revision,
                   milliseconds wait) {
  std::promise<UpstreamPage> promise;
  store.upstreams().Watch(revision, wait, [&promise](UpstreamPage page) {
    promise.set_value(std::move(page));
  });
  return promise.get_future().get();
}

// Guards against missing upstreams: when a list has several pages, or when an
// entry of another writer, even with invalid UTF-8, makes the others
// unreadable.
TEST_CASE("a list returns every page and every valid entry") {
  FakeObjectStore fake({.page_size = 2});
  fake.Put("servers", "a", kUpstream);
  fake.Put("servers", "b", "\"\xff\xfe\"");
  fake.Put("servers", "c", kUpstream);
  PlatformFleetStore store(OptionsFor(fake));
  const UpstreamPage first = List(store);
  REQUIRE(first);
  CHECK(first.value().has_more);
  REQUIRE(first.value().entries.size() == 2);
  CHECK(first.value().entries[0].value != nullptr);
  CHECK(first.value().entries[1].value == nullptr);
  CHECK(first.value().store_revision == fake.revision());
  const UpstreamPage second = List(store, "b");
  REQUIRE(second);
  CHECK_FALSE(second.value().has_more);
  REQUIRE(second.value().entries.size() == 1);
  CHECK(second.value().entries[0].name == "c");
}

// Guards against changes that a watch misses or reports incorrectly.
TEST_CASE("a watch reports changes and removals") {
  FakeObjectStore fake;
  fake.Put("servers", "a", kUpstream);
  PlatformFleetStore store(OptionsFor(fake));
  const std::uint64_t revision = fake.revision();
  const UpstreamPage unchanged = Watch(store, revision, milliseconds(20));
  REQUIRE(unchanged);
  CHECK(unchanged.value().entries.empty());
  fake.Remove("servers", "a");
  fake.Put("servers", "b", kUpstream);
  const UpstreamPage changed = Watch(store, revision, milliseconds(2000));
  REQUIRE(changed);
  REQUIRE(changed.value().entries.size() == 2);
  CHECK(changed.value().entries[0].name == "a");
  CHECK(changed.value().entries[0].value == nullptr);
  CHECK(changed.value().entries[1].value->address == "10.0.0.9:80");
  fake.Compact();
  const UpstreamPage compacted = Watch(store, revision, milliseconds(20));
  REQUIRE_FALSE(compacted);
  CHECK(compacted.error().code == ErrorCode::kNotFound);
}

// Guards against a store failure being treated as an empty store.
TEST_CASE("store faults are reported with the matching error code") {
  struct Row {
    StoreFault fault;
    ErrorCode code;
  };
  FakeObjectStore fake;
  PlatformFleetStore store(OptionsFor(fake));
  for (const Row& row :
       {Row{StoreFault::kUnavailable, ErrorCode::kUnavailable},
        Row{StoreFault::kTooManyCalls, ErrorCode::kResourceExhausted},
        Row{StoreFault::kSilent, ErrorCode::kTimeout},
        Row{StoreFault::kLosesAnswers, ErrorCode::kUnavailable}}) {
    fake.SetFault(row.fault);
    const UpstreamPage page = List(store);
    REQUIRE_FALSE(page);
    CHECK(page.error().code == row.code);
    CHECK(page.error().peer == fake.address());
  }
  fake.SetFault(StoreFault::kNone);
  CHECK(List(store));
}

// Guards against a host that cannot register again after a restart.
TEST_CASE("a host entry is created, replaced and removed") {
  FakeObjectStore fake;
  PlatformFleetStore store(OptionsFor(fake));
  auto register_host = [&store](const std::string& address) {
    std::promise<bool> done;
    store.RegisterHost(
        {.name = "h1", .report_address = address, .data_centre = "z"},
        [&done](const Result<void>& result) {
          done.set_value(result.has_value());
        });
    return done.get_future().get();
  };
  CHECK(register_host("10.0.0.1:1"));
  CHECK(register_host("10.0.0.2:2"));
  CHECK(fake.Spec("flamingogauge-hosts", "h1").find("10.0.0.2:2") !=
        std::string::npos);
  for (int n = 0; n < 2; ++n) {
    std::promise<bool> removed;
    store.RemoveHost("h1", [&removed](const Result<void>& result) {
      removed.set_value(result.has_value());
    });
    CHECK(removed.get_future().get());
  }
  CHECK(fake.Spec("flamingogauge-hosts", "h1").empty());
}

}  // namespace
}  // namespace flamingogauge
