#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include "libs/kernel/service_registry.h"
#include "plugins/peers/peers_plugin.h"
#include "tests/auto/peers/silent_proxy.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

// A host that runs only the peers plugin.
class TestHost {
 public:
  explicit TestHost(PeersSettings settings)
      : plugin_(std::make_unique<PeersPlugin>(std::move(settings))) {
    REQUIRE(plugin_->Initialize(registry_).has_value());
    plugin_->Handle("echo", [](const HostId& from, const std::string& payload,
                               const PeerTransport::ReplyCallback& reply) {
      std::thread([from, payload, reply] {
        reply(from + ":" + payload);
      }).detach();
    });
    plugin_->Handle("silent", [](const HostId&, const std::string&,
                                 const PeerTransport::ReplyCallback&) {});
    REQUIRE(plugin_->ExtensionsInitialized(registry_).has_value());
  }

  std::future<Result<std::string>> Call(
      const HostId& host,
      const std::string& channel,
      const std::string& payload,
      milliseconds limit = milliseconds(5000)) {
    auto promise = std::make_shared<std::promise<Result<std::string>>>();
    plugin_->Call(host, channel, payload, limit,
                  [promise](Result<std::string> result) {
                    promise->set_value(std::move(result));
                  });
    return promise->get_future();
  }

  PeersPlugin& plugin() { return *plugin_; }

 private:
  ServiceRegistry registry_;
  std::unique_ptr<PeersPlugin> plugin_;
};

// Waits until `condition` holds, at most 10 s.
bool Eventually(const std::function<bool()>& condition) {
  const auto deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(5));
  }
  return true;
}

// Guards against a host that does not work without peers.
TEST_CASE("A host alone is its only member and can call itself") {
  TestHost host({.host = "a"});
  CHECK(host.plugin().Current()->size() == 1);
  CHECK(host.Call("a", "echo", "x").get().value() == "a:x");
  CHECK(host.Call("b", "echo", "x").get().error().code == ErrorCode::kNotFound);
}

// Guards against members that are not found through a common seed, and against
// errors that say "not delivered" when the peer may have handled the call.
TEST_CASE("Hosts find each other through a seed and call each other") {
  TestHost a({.host = "a", .token = "secret"});
  const std::string seed = a.plugin().Self().peer_address;
  TestHost b({.host = "b", .seeds = {seed}, .token = "secret"});
  auto c = std::make_unique<TestHost>(
      PeersSettings{.host = "c", .seeds = {seed}, .token = "secret"});
  REQUIRE(Eventually([&] {
    return b.plugin().Current()->size() == 3 &&
           c->plugin().Current()->size() == 3;
  }));
  const std::string large(500000, 'z');
  CHECK(b.Call("c", "echo", large).get().value() == "b:" + large);
  CHECK(c->Call("b", "echo", "").get().value() == "c:");
  CHECK(b.Call("c", "nothing", "").get().error().code == ErrorCode::kNotFound);
  CHECK(b.Call("c", "silent", "", milliseconds(50)).get().error().code ==
        ErrorCode::kTimeout);
  CHECK(b.Call("c", "echo", std::string(1U << 21, 'z')).get().error().code ==
        ErrorCode::kResourceExhausted);
  c.reset();
  // Until b detects that its connection is closed, it still sends calls on it;
  // they may have been executed, which kTimeout reports.
  ErrorCode code = ErrorCode::kTimeout;
  REQUIRE(Eventually([&] {
    code = b.Call("c", "echo", "", milliseconds(20000)).get().error().code;
    return code != ErrorCode::kTimeout;
  }));
  CHECK(code == ErrorCode::kUnavailable);
}

// Guards against a connection that is served without the right token.
TEST_CASE("A host with another token is not admitted") {
  TestHost a({.host = "a", .token = "secret"});
  TestHost b({.host = "b",
              .seeds = {a.plugin().Self().peer_address},
              .token = "guess"});
  REQUIRE(Eventually([&] {
    return a.plugin().DumpState().find("\"connections_accepted\":0") ==
           std::string::npos;
  }));
  CHECK(a.plugin().Current()->size() == 1);
  CHECK(b.plugin().Current()->size() == 1);
}

// Returns how `viewer` sees a host; kDead when it does not list it.
MemberState StateOf(TestHost& viewer, const HostId& host) {
  const auto members = viewer.plugin().Current();
  for (const Member& it : *members) {
    if (it.host == host) {
      return it.state;
    }
  }
  return MemberState::kDead;
}

// Guards against a shutdown that other hosts detect only by missing heartbeats,
// and against a host that stays alive in the list after its process has ended.
TEST_CASE("A leaving host is announced and an ended one is suspected") {
  TestHost a({.host = "a"});
  const std::string seed = a.plugin().Self().peer_address;
  auto b =
      std::make_unique<TestHost>(PeersSettings{.host = "b", .seeds = {seed}});
  TestHost c({.host = "c", .seeds = {seed}});
  REQUIRE(Eventually([&] {
    return StateOf(c, "b") == MemberState::kAlive &&
           StateOf(a, "b") == MemberState::kAlive;
  }));
  std::promise<void> drained;
  b->plugin().AboutToShutdown([&drained] { drained.set_value(); });
  drained.get_future().wait();
  CHECK(Eventually([&] { return StateOf(a, "b") == MemberState::kLeaving; }));
  CHECK(Eventually([&] { return StateOf(c, "b") == MemberState::kLeaving; }));
  b.reset();
  CHECK(Eventually([&] { return StateOf(a, "b") == MemberState::kDead; }));
  CHECK(Eventually([&] { return StateOf(c, "b") == MemberState::kDead; }));
}

// Guards against a connection that stops responding without an error: the peer
// must remain a member and be reached over a new connection.
TEST_CASE("Calls and heartbeats abandon a silent connection") {
  SilentProxy proxy;
  TestHost a({.host = "a"});
  TestHost b({.host = "b",
              .advertised_address = proxy.address(),
              .seeds = {a.plugin().Self().peer_address}});
  proxy.SetTarget(b.plugin().ListenPort());
  REQUIRE(Eventually([&] {
    return a.Call("b", "echo", "x", milliseconds(200)).get().has_value();
  }));
  std::atomic<bool> was_seen_not_alive = false;
  a.plugin().Subscribe(
      [&was_seen_not_alive](const std::shared_ptr<const MemberList>& members) {
        for (const Member& it : *members) {
          was_seen_not_alive =
              was_seen_not_alive || it.state != MemberState::kAlive;
        }
      });
  for (int n = 0; n < 2; ++n) {
    proxy.Silence();
    CHECK(a.Call("b", "echo", "x", milliseconds(100)).get().error().code ==
          ErrorCode::kTimeout);
    CHECK(Eventually([&] {
      return a.Call("b", "echo", "y", milliseconds(200)).get().has_value();
    }));
  }
  CHECK_FALSE(was_seen_not_alive);
}

}  // namespace
}  // namespace flamingogauge
