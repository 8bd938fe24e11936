#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "libs/coordination/coordinator.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{std::chrono::hours(1)};
constexpr std::uint64_t kProcess = 42;

UpstreamEntry Upstream(const std::string& id, int slots = 1) {
  return {.id = id,
          .service = "s",
          .address = id + ":80",
          .data_centre = "z",
          .slots = slots};
}

PlacementRequest Request(std::uint64_t ticket, int priority = 0) {
  return {.ticket = ticket,
          .service = "s",
          .priority = priority,
          .due_in = seconds(5),
          .start_in = seconds(8),
          .deadline_in = seconds(20)};
}

// A host that sends its state to the coordinator under test.
class Host {
 public:
  Host(Coordinator& coordinator, std::string name) : coordinator_(coordinator) {
    state_.host = std::move(name);
    state_.address = state_.host;
    state_.process = 1;
    state_.coordinator_process = kProcess;
  }

  // Adds a request to the state, as long as it is not acknowledged.
  void Ask(const PlacementRequest& request) {
    state_.requests.push_back(request);
    state_.waiting.push_back(request.ticket);
  }
  // Drops all requests from the state.
  void Forget() {
    state_.requests.clear();
    state_.waiting.clear();
  }
  bool Send(MonotonicTime now) {
    ++state_.sequence;
    return coordinator_.OnHostMessage(state_, now);
  }
  HostMessage& state() { return state_; }

  // Takes the reply to this host from the replies of a run.
  CoordinatorMessage ReplyOf(
      const std::vector<AddressedMessage<CoordinatorMessage>>& replies) const {
    for (const auto& it : replies) {
      if (it.address == state_.address) {
        return it.message;
      }
    }
    return {};
  }

 private:
  Coordinator& coordinator_;
  HostMessage state_;
};

Coordinator MakeCoordinator(const std::vector<UpstreamEntry>& upstreams) {
  Coordinator coordinator(
      {.host = "c", .process = kProcess, .dispatcher = {.data_centre = "z"}});
  coordinator.SetUpstreams(upstreams, kStart);
  return coordinator;
}

int RunningAt(Coordinator& coordinator, const std::string& upstream) {
  const FleetSummary report = coordinator.DataCentreReport(kStart);
  const auto it = report.running.find(PeerUpstreamKey(upstream));
  return it == report.running.end() ? 0 : it->second;
}

// Guards against replies that a restarted host cannot tell from those to the
// process before.
TEST_CASE("a reply names the process that it is for") {
  Coordinator coordinator = MakeCoordinator({Upstream("a")});
  Host host(coordinator, "h1");
  for (const std::uint64_t process : {1, 2}) {
    host.state().process = process;
    host.state().sequence = 0;
    host.Forget();
    host.Ask(Request(1));
    REQUIRE(host.Send(kStart));
    const CoordinatorMessage reply = host.ReplyOf(coordinator.Run(kStart));
    CHECK(reply.grants.size() == 1);
    CHECK(reply.host_process == process);
  }
}

// Guards against a slot that is given away again before its host's report shows
// the request, and against one that stays taken after the host has accounted
// for it.
TEST_CASE("a grant counts as load until its host accounts for it") {
  Coordinator coordinator = MakeCoordinator({Upstream("a")});
  Host first(coordinator, "h1");
  Host second(coordinator, "h2");
  first.Ask(Request(1));
  second.Ask(Request(1));
  first.Send(kStart);
  second.Send(kStart);
  auto replies = coordinator.Run(kStart);
  const std::size_t grants = first.ReplyOf(replies).grants.size() +
                             second.ReplyOf(replies).grants.size();
  CHECK(grants == 1);
  Host& granted = first.ReplyOf(replies).grants.empty() ? second : first;
  Host& waiting = &granted == &first ? second : first;
  CHECK(waiting.ReplyOf(replies).queued == std::vector<std::uint64_t>{1});
  // A message that was sent before the grant arrived changes nothing.
  granted.Send(kStart);
  CHECK(coordinator.Run(kStart + milliseconds(1)).size() == 1);
  CHECK(RunningAt(coordinator, "a") == 1);
  // The next one counts the request itself.
  granted.Forget();
  granted.state().last_grant = 1;
  granted.state().running[PeerUpstreamKey("a")] = 1;
  granted.Send(kStart + milliseconds(2));
  CHECK(RunningAt(coordinator, "a") == 1);
  CHECK(coordinator.Run(kStart + milliseconds(2)).empty());
  granted.state().running.clear();
  granted.Send(kStart + milliseconds(3));
  replies = coordinator.Run(kStart + milliseconds(3));
  CHECK(waiting.ReplyOf(replies).grants.size() == 1);
}

// Guards against a slot that is lost with a message, and against a request that
// waits although it was granted or refused.
TEST_CASE("a lost reply is repeated") {
  SUBCASE("a grant, when the host asks again") {
    Coordinator coordinator = MakeCoordinator({Upstream("a")});
    Host host(coordinator, "h1");
    host.Ask(Request(1));
    host.Send(kStart);
    const CoordinatorMessage lost = host.ReplyOf(coordinator.Run(kStart));
    REQUIRE(lost.grants.size() == 1);
    host.Send(kStart + milliseconds(40));
    const CoordinatorMessage again =
        host.ReplyOf(coordinator.Run(kStart + milliseconds(40)));
    REQUIRE(!again.grants.empty());
    CHECK(again.grants[0].number == lost.grants[0].number);
    CHECK(RunningAt(coordinator, "a") == 1);
  }
  SUBCASE("a grant of a request that was queued before") {
    Coordinator coordinator = MakeCoordinator({Upstream("a")});
    Host host(coordinator, "h1");
    host.Ask(Request(1));
    host.Ask(Request(2));
    host.Send(kStart);
    coordinator.Run(kStart);
    host.state().requests.clear();
    host.Send(kStart + milliseconds(10));
    CHECK(coordinator.Run(kStart + milliseconds(10)).empty());
    host.Send(kStart + milliseconds(60));
    CHECK(host.ReplyOf(coordinator.Run(kStart + milliseconds(60)))
              .grants.size() == 1);
  }
  SUBCASE("a refusal") {
    Coordinator coordinator = MakeCoordinator({Upstream("a")});
    Host host(coordinator, "h1");
    host.Ask(Request(1));
    PlacementRequest late = Request(2, 100);
    late.due_in = milliseconds(10);
    late.start_in = milliseconds(10);
    host.Ask(late);
    host.Send(kStart);
    REQUIRE(host.ReplyOf(coordinator.Run(kStart)).refusals.size() == 1);
    host.Send(kStart + milliseconds(5));
    const CoordinatorMessage again =
        host.ReplyOf(coordinator.Run(kStart + milliseconds(5)));
    REQUIRE(again.refusals.size() == 1);
    CHECK(again.refusals[0].ticket == 2);
    CHECK(coordinator.waiting_count() == 0);
    // Also when the host does not send the request again, because it had been
    // told that the request is queued.
    host.state().requests.clear();
    host.Send(kStart + milliseconds(10));
    CHECK(host.ReplyOf(coordinator.Run(kStart + milliseconds(10)))
              .refusals.size() == 1);
  }
  SUBCASE("a ticket that the coordinator does not know") {
    Coordinator coordinator = MakeCoordinator({Upstream("a")});
    Host host(coordinator, "h1");
    host.state().waiting = {9};
    host.Send(kStart);
    CHECK(host.ReplyOf(coordinator.Run(kStart)).unknown ==
          std::vector<std::uint64_t>{9});
  }
}

// Guards against slots and queue entries that stay taken for hosts and callers
// that are gone.
TEST_CASE("what is gone frees its place") {
  struct Case {
    std::string title;
    // The second host's request gets the slot after this.
    void (*change)(Coordinator&, Host&, MonotonicTime);
    milliseconds after;
  };
  for (const Case& it : std::vector<Case>{
           {"the host accounts for the grant and runs nothing",
            [](Coordinator&, Host&host, MonotonicTime now) {
              host.Forget();
              host.state().last_grant = 1;
              host.Send(now);
            },
            milliseconds(10)},
           {"the grant is lost and its request has left",
            [](Coordinator&, Host&host, MonotonicTime now) {
              host.Forget();
              host.Send(now);
            },
            milliseconds(10)},
           {"the grant is lost and its request waits elsewhere meanwhile",
            [](Coordinator&, Host&host, MonotonicTime now) {
              host.Forget();
              host.state().coordinator_process = 0;
              host.Send(now);
            },
            milliseconds(10)},
           {"the host restarted",
            [](Coordinator&, Host&host, MonotonicTime now) {
              host.state() = {.host = "h1", .address = "h1", .process = 2};
              host.Send(now);
            },
            milliseconds(10)},
           {"the host is silent",
            [](Coordinator&coordinator, Host&, MonotonicTime now) {
              CHECK(coordinator.ExpireHosts(now) ==
                    std::vector<std::string>{"h1"});
            },
            milliseconds(1600)}}) {
    CAPTURE(it.title);
    Coordinator coordinator = MakeCoordinator({Upstream("a")});
    Host gone(coordinator, "h1");
    gone.Ask(Request(1));
    gone.Send(kStart);
    REQUIRE(gone.ReplyOf(coordinator.Run(kStart)).grants.size() == 1);
    const MonotonicTime now = kStart + it.after;
    Host waiting(coordinator, "h2");
    waiting.Ask(Request(1));
    waiting.Send(now);
    CHECK(waiting.ReplyOf(coordinator.Run(now)).grants.empty());
    it.change(coordinator, gone, now);
    CHECK(waiting.ReplyOf(coordinator.Run(now)).grants.size() == 1);
  }
}

// Guards against a queue that serves requests for which nobody waits any more.
TEST_CASE("a ticket that a host no longer names is removed") {
  Coordinator coordinator = MakeCoordinator({Upstream("a")});
  Host host(coordinator, "h1");
  host.Ask(Request(1));
  host.Ask(Request(2));
  host.Send(kStart);
  coordinator.Run(kStart);
  CHECK(coordinator.waiting_count() == 1);
  host.Forget();
  host.Send(kStart + milliseconds(1));
  CHECK(coordinator.waiting_count() == 0);
}

// Guards against an older message that arrives late and undoes a newer one.
TEST_CASE("messages that are out of date are ignored") {
  Coordinator coordinator = MakeCoordinator({Upstream("a", 4)});
  Host host(coordinator, "h1");
  host.state().running[PeerUpstreamKey("a")] = 3;
  CHECK(host.Send(kStart));
  host.state().sequence = 0;
  host.state().running.clear();
  CHECK_FALSE(host.Send(kStart));
  CHECK(RunningAt(coordinator, "a") == 3);
}

// Guards against requests of low tiers that are served before higher ones
// because they wait at another host.
TEST_CASE("requests of all hosts wait in one queue") {
  Coordinator coordinator = MakeCoordinator({Upstream("a")});
  Host busy(coordinator, "h0");
  busy.Ask(Request(1));
  busy.Send(kStart);
  REQUIRE(busy.ReplyOf(coordinator.Run(kStart)).grants.size() == 1);
  Host low(coordinator, "h1");
  Host high(coordinator, "h2");
  low.Ask(Request(1, 200));
  low.Send(kStart + milliseconds(1));
  coordinator.Run(kStart + milliseconds(1));
  high.Ask(Request(1, 0));
  high.Send(kStart + milliseconds(2));
  coordinator.Run(kStart + milliseconds(2));
  busy.state() = {.host = "h0",
                  .address = "h0",
                  .process = 1,
                  .sequence = busy.state().sequence,
                  .coordinator_process = kProcess,
                  .last_grant = 1};
  busy.Send(kStart + milliseconds(100));
  const auto replies = coordinator.Run(kStart + milliseconds(100));
  CHECK(high.ReplyOf(replies).grants.size() == 1);
  CHECK(low.ReplyOf(replies).grants.empty());
}

// Guards against an upstream that keeps getting requests of other hosts while
// one host sees it fail, and against a result that is counted twice.
TEST_CASE("results of one host's requests are known to all") {
  Coordinator coordinator = MakeCoordinator({Upstream("a"), Upstream("b")});
  Host host(coordinator, "h1");
  host.state().results.push_back({.number = 1,
                                  .upstream = PeerUpstreamKey("a"),
                                  .result = DispatchResult::kTransportError});
  host.Send(kStart);
  Host other(coordinator, "h2");
  other.Ask(Request(1));
  other.Send(kStart);
  const CoordinatorMessage reply = other.ReplyOf(coordinator.Run(kStart));
  REQUIRE(reply.grants.size() == 1);
  CHECK(reply.grants[0].upstream == PeerUpstreamKey("b"));
  // The repeated result does not prolong the suspicion of 500 ms.
  host.Send(kStart + milliseconds(400));
  other.Ask(Request(2));
  other.Send(kStart + milliseconds(600));
  CHECK(other.ReplyOf(coordinator.Run(kStart + milliseconds(600)))
            .grants.back()
            .upstream == PeerUpstreamKey("a"));
}

// Guards against two data centres that take the same slot for longer than a
// report needs.
TEST_CASE("the load of other data centres counts while they report") {
  Coordinator coordinator = MakeCoordinator({Upstream("a")});
  FleetSummary report{.coordinator = "x",
                      .data_centre = "far",
                      .process = 7,
                      .sequence = 1,
                      .running = {{PeerUpstreamKey("a"), 1}},
                      .reachable_hosts = 3};
  coordinator.OnDataCentreReport(report, kStart);
  Host host(coordinator, "h1");
  host.Ask(Request(1));
  host.Send(kStart);
  CHECK(host.ReplyOf(coordinator.Run(kStart)).grants.empty());
  CHECK(coordinator.ReachableHosts(kStart) == 4);
  // Another host of that data centre believes to be coordinator, too.
  FleetSummary other = report;
  other.coordinator = "y";
  other.process = 8;
  other.running.clear();
  coordinator.OnDataCentreReport(other, kStart + milliseconds(10));
  CHECK(coordinator.Run(kStart + milliseconds(10)).empty());
  // The first one is silent by now.
  other.sequence = 2;
  host.Send(kStart + milliseconds(1600));
  coordinator.OnDataCentreReport(other, kStart + milliseconds(1600));
  CHECK(host.ReplyOf(coordinator.Run(kStart + milliseconds(1600)))
            .grants.size() == 1);
}

// Guards against limits that are exceeded or unused because consumption is
// counted twice or not at all.
TEST_CASE("a summary holds what all other hosts have spent") {
  Coordinator coordinator = MakeCoordinator({});
  Host first(coordinator, "h1");
  Host second(coordinator, "h2");
  const auto spend = [](Host& host, double spent, MonotonicTime now) {
    host.state().usage["w"] = {.spent = spent};
    host.Send(now);
  };
  const auto others = [&coordinator](const std::string& host) {
    for (const auto& it : coordinator.SummariesForHosts(true, kStart)) {
      if (it.address == host) {
        const auto usage = it.message.usage.find("w");
        return usage == it.message.usage.end() ? 0.0 : usage->second.spent;
      }
    }
    return -1.0;
  };
  // What was spent before the first message is not known to be recent.
  spend(first, 100, kStart);
  spend(second, 10, kStart);
  CHECK(others("h2") == 0);
  spend(first, 150, kStart);
  CHECK(others("h2") == 50);
  CHECK(others("h1") == 0);
  // Units of requests that were not executed are returned.
  spend(first, 130, kStart);
  CHECK(others("h2") == 30);
  // A restarted host counts from zero.
  first.state().process = 2;
  spend(first, 5, kStart);
  CHECK(others("h2") == 35);
  FleetSummary report{.coordinator = "x",
                      .data_centre = "far",
                      .process = 7,
                      .sequence = 1,
                      .usage = {{"w", {.spent = 1000}}}};
  coordinator.OnDataCentreReport(report, kStart);
  CHECK(others("h2") == 35);
  report.sequence = 2;
  report.usage["w"].spent = 1007;
  coordinator.OnDataCentreReport(report, kStart);
  CHECK(others("h2") == 42);
  CHECK(others("h1") == 7);
}

}  // namespace
}  // namespace flamingogauge
