#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "libs/coordination/coordinator.h"
#include "libs/coordination/placer.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr MonotonicTime kStart{std::chrono::hours(1)};

UpstreamEntry Upstream(const std::string& id) {
  return {.id = id,
          .service = "s",
          .address = id + ":80",
          .data_centre = "z",
          .slots = 4};
}

HostEntry Host(const std::string& name, double capacity) {
  return {.name = name,
          .report_address = name,
          .data_centre = "z",
          .capacity = capacity};
}

constexpr std::uint64_t kProcess = 42;

// A placer of the host "me", whose data centre has the coordinators "c1", "c2"
// and "c3", in this order.
class Driver {
 public:
  Driver() : placer_({.host = "me", .process = kProcess, .data_centre = "z"}) {
    placer_.SetHosts({Host("me", 0.1), Host("c1", 0.9), Host("c2", 0.8),
                      Host("c3", 0.7), Host("x", 0.6)},
                     now_);
    placer_.SetUpstreams({Upstream("a"), Upstream("b")}, now_);
  }

  void Enqueue(std::uint64_t id) {
    placer_.Enqueue({.id = id,
                     .service = "s",
                     .arrived_at = now_,
                     .due_at = now_ + milliseconds(500),
                     .start_by = now_ + milliseconds(2000),
                     .deadline = now_ + milliseconds(4000)});
  }
  // Sends the state to those that need it at once; returns the message to
  // `coordinator`.
  HostMessage Send(const std::string& coordinator) {
    HostMessage sent;
    for (const std::string& it : placer_.TakeUrgentReceivers()) {
      const HostMessage message = placer_.StateFor(it, now_);
      if (it == coordinator) {
        sent = message;
      }
    }
    return sent;
  }
  void Reply(const std::string& coordinator,
             const CoordinatorMessage& message,
             std::uint64_t process = 1) {
    CoordinatorMessage reply = message;
    reply.coordinator = coordinator;
    reply.process = process;
    reply.host_process = kProcess;
    placer_.OnCoordinatorMessage(reply, now_);
  }
  void Wait(milliseconds time) {
    now_ += time;
    placer_.Tick(now_);
  }
  void Summary(const std::string& coordinator,
               std::uint64_t sequence,
               bool draining = false) {
    placer_.OnSummary({.coordinator = coordinator,
                       .process = 1,
                       .host_process = kProcess,
                       .sequence = sequence,
                       .draining = draining},
                      now_);
  }
  std::vector<Placement> Place() { return placer_.Place(now_); }
  std::string Coordinator() { return placer_.Coordinator(); }
  Placer& placer() { return placer_; }
  MonotonicTime now() const { return now_; }

 private:
  MonotonicTime now_ = kStart;
  Placer placer_;
};

PlacementGrant Grant(std::uint64_t ticket,
                     const std::string& upstream,
                     std::uint64_t number = 1) {
  return {.ticket = ticket,
          .upstream = PeerUpstreamKey(upstream),
          .number = number};
}

// Guards against a request that is not told to the coordinator at once, or
// whose slot is not accounted for.
TEST_CASE("a granted request is sent and accounted for") {
  Driver driver;
  driver.Enqueue(1);
  const HostMessage asked = driver.Send("c1");
  REQUIRE(asked.requests.size() == 1);
  CHECK(asked.requests[0].due_in == milliseconds(500));
  const std::uint64_t ticket = asked.requests[0].ticket;
  CHECK(asked.waiting == std::vector<std::uint64_t>{ticket});
  CHECK(driver.Place().empty());
  driver.Reply("c1", {.grants = {Grant(ticket, "b", 5)}});
  const std::vector<Placement> placements = driver.Place();
  REQUIRE(placements.size() == 1);
  CHECK(placements[0].upstream.id == "b");
  const HostMessage after = driver.placer().StateFor("c1", driver.now());
  CHECK(after.running.at(PeerUpstreamKey("b")) == 1);
  CHECK(after.last_grant == 5);
  CHECK(after.coordinator_process == 1);
  CHECK(after.waiting.empty());
  // The end is told at once, since it frees the slot.
  driver.placer().OnEnded("b", DispatchResult::kServed, driver.now());
  const HostMessage ended = driver.Send("c1");
  CHECK(ended.running.empty());
  CHECK(ended.results.size() == 1);
}

// Guards against requests that wait for a coordinator that is dead, paused or
// cut off.
TEST_CASE("a request goes on when its coordinator does not answer") {
  Driver driver;
  driver.Enqueue(1);
  driver.Send("c1");
  driver.Wait(milliseconds(40));
  CHECK(driver.Coordinator() == "c1");
  driver.Wait(milliseconds(1));
  CHECK(driver.Coordinator() == "c2");
  CHECK(driver.Send("c2").requests.size() == 1);
  driver.Wait(milliseconds(41));
  CHECK(driver.Coordinator() == "c3");
  // After two coordinators, the host decides itself.
  CHECK(driver.Place().size() == 1);
  // A host that no coordinator answers places its requests at once.
  driver.Enqueue(2);
  driver.Send("c3");
  driver.Wait(milliseconds(41));
  CHECK(driver.Coordinator().empty());
  CHECK(driver.Place().size() == 1);
  driver.Enqueue(3);
  CHECK(driver.Place().size() == 1);
}

// Guards against a coordinator that is given up because one message was lost.
TEST_CASE("a lost message alone does not make a coordinator avoided") {
  Driver driver;
  driver.Enqueue(1);
  driver.Send("c1");
  driver.Wait(milliseconds(20));
  driver.Summary("c1", 1);
  driver.Wait(milliseconds(21));
  CHECK(driver.Coordinator() == "c1");
  const HostMessage again = driver.Send("c1");
  REQUIRE(again.requests.size() == 1);
  driver.Reply("c1", {.grants = {Grant(again.requests[0].ticket, "a")}});
  CHECK(driver.Place().size() == 1);
}

// Guards against a queue at a coordinator that has died since it acknowledged
// the requests.
TEST_CASE("queued requests leave a coordinator that falls silent") {
  Driver driver;
  driver.Enqueue(1);
  const std::uint64_t ticket = driver.Send("c1").requests.at(0).ticket;
  driver.Reply("c1", {.queued = {ticket}});
  CHECK(driver.placer().unacknowledged_count() == 0);
  driver.Wait(milliseconds(800));
  CHECK(driver.Coordinator() == "c1");
  driver.Wait(milliseconds(1));
  CHECK(driver.Coordinator() == "c2");
  CHECK(driver.Send("c2").requests.size() == 1);
}

// Guards against requests that a restarted coordinator has forgotten.
TEST_CASE("a restarted coordinator is asked again") {
  Driver driver;
  driver.Enqueue(1);
  const std::uint64_t ticket = driver.Send("c1").requests.at(0).ticket;
  driver.Reply("c1", {.queued = {ticket}});
  CHECK(driver.placer().StateFor("c1", driver.now()).requests.empty());
  driver.Reply("c1", {}, 2);
  const HostMessage again = driver.Send("c1");
  CHECK(again.requests.size() == 1);
  CHECK(again.coordinator_process == 2);
  CHECK(again.last_grant == 0);
}

// Guards against requests that a coordinator dropped while their host was
// silent.
TEST_CASE("a request that the coordinator does not know is submitted again") {
  Driver driver;
  driver.Enqueue(1);
  const std::uint64_t ticket = driver.Send("c1").requests.at(0).ticket;
  driver.Reply("c1", {.queued = {ticket}});
  driver.Reply("c1", {.unknown = {ticket, 99}});
  CHECK(driver.Send("c1").requests.size() == 1);
}

// Guards against requests that a stopping coordinator takes with it.
TEST_CASE("hosts leave a coordinator that shuts down, and return") {
  Driver driver;
  driver.Enqueue(1);
  const std::uint64_t ticket = driver.Send("c1").requests.at(0).ticket;
  driver.Reply("c1", {.queued = {ticket}});
  driver.Summary("c1", 1, true);
  CHECK(driver.Coordinator() == "c2");
  const HostMessage moved = driver.Send("c2");
  REQUIRE(moved.requests.size() == 1);
  driver.Reply("c2", {.queued = {moved.requests[0].ticket}});
  driver.Wait(milliseconds(100));
  driver.Summary("c1", 2, true);
  driver.Wait(milliseconds(301));
  CHECK(driver.Coordinator() == "c2");
  driver.Summary("c1", 3);
  CHECK(driver.Coordinator() == "c1");
}

// Guards against a grant for a request that has been placed otherwise since,
// and against a slot that is then never freed.
TEST_CASE("a late grant is not used but accounted for") {
  Driver driver;
  driver.Enqueue(1);
  const std::uint64_t ticket = driver.Send("c1").requests.at(0).ticket;
  driver.Wait(milliseconds(41));
  driver.Reply("c1", {.grants = {Grant(ticket, "a", 3)}});
  CHECK(driver.Place().empty());
  const HostMessage state = driver.placer().StateFor("c1", driver.now());
  CHECK(state.running.empty());
  CHECK(state.last_grant == 3);
}

// Guards against a request that an upstream of another service executes: the
// process before this one has given the same ticket to another request, and a
// coordinator that was paused still answers that one.
TEST_CASE("a reply to the process before changes nothing") {
  struct Case {
    std::string title;
    CoordinatorMessage reply;
  };
  for (const Case& it :
       std::vector<Case>{{"a grant", {.grants = {Grant(1, "a", 7)}}},
                         {"a refusal", {.refusals = {{.ticket = 1}}}},
                         {"an acknowledgement", {.queued = {1}}},
                         {"an unknown ticket", {.unknown = {1}}}}) {
    CAPTURE(it.title);
    Driver driver;
    driver.Enqueue(1);
    REQUIRE(driver.Send("c1").requests.at(0).ticket == 1);
    CoordinatorMessage late = it.reply;
    late.coordinator = "c1";
    late.process = 1;
    late.host_process = kProcess - 1;
    CHECK_FALSE(driver.placer().OnCoordinatorMessage(late, driver.now()));
    CHECK(driver.Place().empty());
    CHECK(driver.placer().Reject(driver.now()).empty());
    CHECK(driver.placer().unacknowledged_count() == 1);
    CHECK(driver.placer().TakeUrgentReceivers().empty());
    // The coordinator counts its grants to this process from 1 again.
    const HostMessage state = driver.placer().StateFor("c1", driver.now());
    CHECK(state.last_grant == 0);
    driver.Reply("c1", {.grants = {Grant(1, "b", 1)}});
    const std::vector<Placement> placements = driver.Place();
    REQUIRE(placements.size() == 1);
    CHECK(placements[0].upstream.id == "b");
  }
}

// Guards against a restarted host that hears nothing of its coordinator for as
// long as the process before it ran: summaries are counted for each process.
TEST_CASE("a summary for the process before does not outdate later ones") {
  Driver driver;
  Coordinator coordinator(
      {.host = "c1", .process = 1, .dispatcher = {.data_centre = "z"}});
  const auto summary_for = [&](std::uint64_t process) {
    coordinator.OnHostMessage(
        {.host = "me", .address = "me", .process = process, .sequence = 1},
        driver.now());
    return coordinator.SummariesForHosts(true, driver.now()).at(0).message;
  };
  summary_for(kProcess - 1);
  const FleetSummary late =
      coordinator.SummariesForHosts(true, driver.now()).at(0).message;
  FleetSummary first = summary_for(kProcess);
  first.draining = true;
  driver.placer().OnSummary(late, driver.now());
  REQUIRE(driver.Coordinator() == "c1");
  driver.placer().OnSummary(first, driver.now());
  CHECK(driver.Coordinator() == "c2");
}

// Guards against requests that are sent to an upstream of which this host knows
// that it leaves, has been replaced or fails.
TEST_CASE("a grant for an upstream known to be unusable is not used") {
  struct Case {
    std::string title;
    void (*change)(Driver&);
  };
  for (
      const Case& it : std::vector<Case>{
          {"it leaves",
           [](Driver& driver) {
             UpstreamEntry leaving = Upstream("a");
             leaving.draining = true;
             driver.placer().SetUpstreams({leaving, Upstream("b")},
                                          driver.now());
           }},
          {"it is gone",
           [](Driver& driver) {
             driver.placer().SetUpstreams({Upstream("b")}, driver.now());
           }},
          {"it serves another service since it has started again",
           [](Driver& driver) {
             UpstreamEntry other = Upstream("a");
             other.service = "t";
             other.started_at_ms = 1;
             driver.placer().SetUpstreams({other, Upstream("b")}, driver.now());
           }},
          {"another process answers there",
           [](Driver& driver) {
             driver.placer().OnEnded("a", DispatchResult::kReplaced,
                                     driver.now());
           }},
          {"its last request broke", [](Driver& driver) {
             driver.placer().OnEnded("a", DispatchResult::kTransportError,
                                     driver.now());
           }}}) {
    CAPTURE(it.title);
    Driver driver;
    driver.Enqueue(1);
    const std::uint64_t ticket = driver.Send("c1").requests.at(0).ticket;
    it.change(driver);
    driver.Send("c1");
    driver.Reply("c1", {.grants = {Grant(ticket, "a")}});
    CHECK(driver.Place().empty());
    const HostMessage again = driver.Send("c1");
    REQUIRE(again.requests.size() == 1);
    CHECK(again.requests[0].ticket != ticket);
  }
}

// Guards against grants and acknowledgements that were given before a pause of
// this process and are used after it.
TEST_CASE("after a pause all requests are submitted anew") {
  Driver driver;
  driver.Enqueue(1);
  driver.Enqueue(2);
  const HostMessage asked = driver.Send("c1");
  REQUIRE(asked.requests.size() == 2);
  driver.Reply("c1", {.queued = {asked.requests[0].ticket}});
  driver.placer().OnPaused();
  driver.Reply("c1", {.grants = {Grant(asked.requests[0].ticket, "a", 1),
                                 Grant(asked.requests[1].ticket, "a", 2)}});
  CHECK(driver.Place().empty());
  CHECK(driver.Send("c1").requests.size() == 2);
}

// Guards against callers that left and still hold a place in the queue.
TEST_CASE("a removed request is no longer named as waiting") {
  Driver driver;
  driver.Enqueue(1);
  driver.Send("c1");
  driver.placer().Remove(1);
  const HostMessage state = driver.Send("c1");
  CHECK(state.waiting.empty());
  CHECK(state.requests.empty());
  CHECK(driver.placer().waiting_count() == 0);
}

// Guards against a place that stays taken for good, because its request ended
// between the grant and the sending.
TEST_CASE("a request that is removed after its grant frees its place") {
  Driver driver;
  driver.Enqueue(1);
  const std::uint64_t ticket = driver.Send("c1").requests.at(0).ticket;
  driver.Reply("c1", {.grants = {Grant(ticket, "a")}});
  driver.placer().Remove(1);
  CHECK(driver.Place().empty());
  CHECK(driver.placer().upstreams().at("a").running() == 0);
  // The coordinator learns at once that nothing runs there.
  CHECK(driver.placer().TakeUrgentReceivers() ==
        std::vector<std::string>{"c1"});
  const HostMessage state = driver.placer().StateFor("c1", driver.now());
  CHECK(state.running.empty());
  CHECK(state.last_grant == 1);
}

// Guards against refusals that do not reach the caller.
TEST_CASE("a refusal ends the request with the coordinator's advice") {
  Driver driver;
  driver.Enqueue(1);
  const std::uint64_t ticket = driver.Send("c1").requests.at(0).ticket;
  driver.Reply("c1", {.refusals = {{.ticket = ticket,
                                    .retry_after = milliseconds(700),
                                    .reason = "would be late"}}});
  const std::vector<Rejection> rejections =
      driver.placer().Reject(driver.now());
  REQUIRE(rejections.size() == 1);
  CHECK(rejections[0].request == 1);
  CHECK(rejections[0].retry_after == milliseconds(700));
  CHECK(rejections[0].reason == "would be late");
}

// Guards against a host that is its own coordinator and gives it up.
TEST_CASE("a host that is the first of its data centre coordinates itself") {
  Placer placer({.host = "c1", .data_centre = "z"});
  placer.SetHosts({Host("c1", 0.9), Host("c2", 0.8)}, kStart);
  CHECK(placer.Coordinator() == "c1");
  placer.Tick(kStart + std::chrono::hours(1));
  CHECK(placer.Coordinator() == "c1");
  placer.SetDraining();
  CHECK(placer.Coordinator() == "c2");
}

}  // namespace
}  // namespace flamingogauge
