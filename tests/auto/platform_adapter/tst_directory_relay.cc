#include <doctest/doctest.h>

#include <sys/socket.h>

#include <atomic>
#include <chrono>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "libs/kernel/boot_clock.h"
#include "tests/auto/platform_adapter/directory_fleet.h"
#include "tests/support/free_address.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kHosts = 6;

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
  // The node takes over the addresses on its own thread, where a question that
  // is sent at once may come first.
  const auto limit = std::chrono::steady_clock::now() + kTimeLimit;
  Result<RelayReply> answered = ask();
  while (answered && answered.value().is_caller_unknown &&
         std::chrono::steady_clock::now() < limit) {
    CHECK(questions == 0);
    answered = ask();
  }
  REQUIRE(answered);
  CHECK_FALSE(answered.value().is_caller_unknown);
  CHECK(questions == 1);
}

}  // namespace
}  // namespace flamingogauge
