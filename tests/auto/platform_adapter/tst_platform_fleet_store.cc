#include <doctest/doctest.h>

#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <vector>

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
  CHECK(first.value().store_revision.number == fake.revision());
  const UpstreamPage second = List(store, "b");
  REQUIRE(second);
  CHECK_FALSE(second.value().has_more);
  REQUIRE(second.value().entries.size() == 1);
  CHECK(second.value().entries[0].name == "c");
}

// The specs that another writer may leave in an object. None can be used.
std::vector<std::string> OddSpecs() {
  return {
      // Bytes that are no UTF-8, as they are and as escapes.
      "\"\xff\xfe\"", R"("\udcff\udcfe")", R"({"\udcff":1})",
      // A raw control character.
      "\"a\nb\"",
      // Numbers out of range, where a number is expected and elsewhere.
      R"({"service":"s","address":"10.0.0.9:80","slots":1e999,"state":"ready"})",
      R"({"service":"s","address":"10.0.0.9:80","slots":8,"state":"ready","x":-1e999})",
      R"({"service":"s","address":"10.0.0.9:80","slots":1e300,"state":"ready"})",
      R"({"service":"s","address":"10.0.0.9:80","slots":-9223372036854775809,"state":"ready"})",
      // Addresses to which no connection is possible.
      R"({"service":"s","address":"10.0.0.9:65536","slots":8,"state":"ready"})",
      R"({"service":"s","address":"10.0.0.9:0","slots":8,"state":"ready"})",
      R"({"service":"s","address":"10.0.0.9:-1","slots":8,"state":"ready"})",
      R"({"service":"s","address":"nowhere:80","slots":8,"state":"ready"})",
      // Very deep nesting, also within what else cannot be parsed.
      std::string(100000, '[') + std::string(100000, ']'),
      std::string(100000, '[') + "1e999" + std::string(100000, ']'),
      // Another type, and strings that look like the end of the object.
      "7", "[]", "null", R"(["]}\"}],{", 1e999])", "1e999"};
}

// Guards against one odd entry that hides all others of its kind: hosts would
// follow no list any more, or end.
TEST_CASE("an odd entry costs that entry only") {
  for (const std::string& spec : OddSpecs()) {
    CAPTURE(spec.substr(0, 100));
    FakeObjectStore fake;
    fake.Put("servers", "a", kUpstream);
    PlatformFleetStore store(OptionsFor(fake));
    const std::uint64_t revision = fake.revision();
    fake.Put("servers", "b", spec);
    fake.Put("servers", "c", kUpstream);
    const UpstreamPage list = List(store);
    REQUIRE(list);
    REQUIRE(list.value().entries.size() == 3);
    CHECK(list.value().entries[0].value != nullptr);
    CHECK(list.value().entries[1].name == "b");
    CHECK(list.value().entries[1].value == nullptr);
    CHECK(list.value().entries[2].value != nullptr);
    REQUIRE(list.value().left_out.size() == 1);
    CHECK(list.value().left_out[0].name == "b");
    const UpstreamPage watch = Watch(store, revision, milliseconds(100));
    REQUIRE(watch);
    REQUIRE(watch.value().entries.size() == 2);
    CHECK(watch.value().entries[0].value == nullptr);
    CHECK(watch.value().entries[1].value != nullptr);
    CHECK(watch.value().left_out.size() == 1);
    CHECK(watch.value().store_revision.number == fake.revision());
  }
}

// Guards against an entry whose name cannot be read that hides the others, and
// against a list that is taken for complete after a page of such entries.
TEST_CASE("entries with unreadable names are left out") {
  FakeObjectStore fake({.page_size = 2});
  fake.Put("servers", "a", kUpstream);
  fake.Put("servers", "b\xff", kUpstream);
  fake.Put("servers", "c", kUpstream);
  PlatformFleetStore store(OptionsFor(fake));
  const UpstreamPage first = List(store);
  REQUIRE(first);
  CHECK(first.value().entries.size() == 1);
  REQUIRE(first.value().left_out.size() == 1);
  CHECK(first.value().left_out[0].name.empty());
  CHECK(List(store, "a").value().entries.size() == 1);
  fake.Put("servers", "b\xff\xff", kUpstream);
  CHECK_FALSE(List(store, "a"));
}

// Guards against a list that cannot be continued, or a host entry that cannot
// be changed, because a name has characters with a meaning in a URL.
TEST_CASE("names are percent-encoded in calls") {
  for (const std::string& name :
       {std::string("i a"), std::string("i-a&b=c"), std::string("i/a?b#c"),
        std::string("i%41+")}) {
    CAPTURE(name);
    FakeObjectStore fake({.page_size = 1});
    fake.Put("servers", name, kUpstream);
    fake.Put("servers", "z", kUpstream);
    PlatformFleetStore store(OptionsFor(fake));
    const UpstreamPage next = List(store, name);
    REQUIRE(next);
    REQUIRE(next.value().entries.size() == 1);
    CHECK(next.value().entries[0].name == "z");
    fake.Put("flamingogauge-hosts", name, "{}");
    std::promise<bool> removed;
    store.RemoveHost(name, [&removed](const Result<void>& result) {
      removed.set_value(result.has_value());
    });
    CHECK(removed.get_future().get());
    CHECK(fake.Spec("flamingogauge-hosts", name).empty());
  }
}

// Guards against an odd entry of the hosts or of the routing documents that
// hides the others.
TEST_CASE("odd entries of hosts and documents cost those entries only") {
  const std::string host = R"({"reportAddress":"10.0.0.1:1","dataCentre":"z"})";
  for (const std::string& spec :
       {std::string(R"({"reportAddress":"10.0.0.1:99999"})"),
        std::string(R"({"reportAddress":"10.0.0.1:1","capacity":1e999})"),
        std::string("\"\xff\"")}) {
    CAPTURE(spec);
    FakeObjectStore fake;
    fake.Put("flamingogauge-hosts", "h1", host);
    fake.Put("flamingogauge-hosts", "h2", spec);
    fake.Put("config", "a-copy", spec);
    fake.Put("config", "main", R"({"version":3,"routes":[]})");
    PlatformFleetStore store(OptionsFor(fake));
    std::promise<Result<FleetPage<HostEntry>>> hosts;
    store.hosts().List("", false, [&hosts](Result<FleetPage<HostEntry>> page) {
      hosts.set_value(std::move(page));
    });
    const auto host_page = hosts.get_future().get();
    REQUIRE(host_page);
    REQUIRE(host_page.value().entries.size() == 2);
    CHECK(host_page.value().entries[0].value != nullptr);
    CHECK(host_page.value().entries[1].value == nullptr);
    CHECK(host_page.value().left_out.size() == 1);
    std::promise<Result<FleetPage<RoutingTable>>> documents;
    store.routing().List("", false,
                         [&documents](Result<FleetPage<RoutingTable>> page) {
                           documents.set_value(std::move(page));
                         });
    const auto document_page = documents.get_future().get();
    REQUIRE(document_page);
    REQUIRE(document_page.value().entries.size() == 2);
    CHECK(document_page.value().entries[0].value == nullptr);
    REQUIRE(document_page.value().entries[1].value != nullptr);
    CHECK(document_page.value().entries[1].value->version == 3);
    CHECK(document_page.value().left_out.empty());
  }
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
