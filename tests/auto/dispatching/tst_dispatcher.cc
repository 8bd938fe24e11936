#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

#include "libs/dispatching/dispatcher.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{std::chrono::hours(1)};

UpstreamEntry Upstream(const std::string& id,
                       const std::string& data_centre = "near",
                       int slots = 2) {
  return {.id = id,
          .service = "s",
          .address = "10.0.0.1:1",
          .data_centre = data_centre,
          .slots = slots};
}

WaitingRequest Request(std::uint64_t id,
                       int priority = 0,
                       milliseconds target = seconds(1)) {
  return {.id = id,
          .service = "s",
          .priority = priority,
          .arrived_at = kStart,
          .due_at = kStart + target,
          .start_by = kStart + target * 4,
          .deadline = kStart + seconds(15)};
}

Dispatcher MakeDispatcher(const std::vector<UpstreamEntry>& upstreams) {
  Dispatcher dispatcher(
      {.data_centre = "near",
       .regions = {{"near", "a"}, {"next", "a"}, {"far", "b"}}});
  dispatcher.SetUpstreams(upstreams, kStart);
  return dispatcher;
}

std::string PlaceOne(Dispatcher& dispatcher,
                     std::uint64_t id,
                     MonotonicTime now = kStart) {
  dispatcher.Enqueue(Request(id));
  const std::vector<Placement> placements = dispatcher.Place(now);
  return placements.empty() ? "" : placements[0].upstream.id;
}

// Guards against traffic over billed links while a slot in the same data centre
// is free.
TEST_CASE("near upstreams are used first, far ones when those are full") {
  Dispatcher dispatcher =
      MakeDispatcher({Upstream("far1", "far", 1), Upstream("near1", "near", 1),
                      Upstream("next1", "next", 1)});
  CHECK(PlaceOne(dispatcher, 1) == "near1");
  CHECK(PlaceOne(dispatcher, 2) == "next1");
  CHECK(PlaceOne(dispatcher, 3) == "far1");
  CHECK(PlaceOne(dispatcher, 4).empty());
  dispatcher.OnEnded("next1", DispatchResult::kServed, kStart);
  CHECK(dispatcher.Place(kStart).size() == 1);
}

// Guards against overcommitting an upstream: requests of other hosts count
// until their report expires.
TEST_CASE("slots used by other hosts are not free") {
  Dispatcher dispatcher = MakeDispatcher({Upstream("a")});
  dispatcher.OnPeerLoad("h2", {{PeerUpstreamKey("a"), 2}}, kStart);
  CHECK(PlaceOne(dispatcher, 1).empty());
  dispatcher.OnPeerLoad("h3", {}, kStart + seconds(2));
  CHECK(dispatcher.Place(kStart + seconds(2)).size() == 1);
}

// Guards against slots that stay occupied on a host that is partitioned from
// all others and receives no more reports.
TEST_CASE("the last report of a host that stopped reporting expires") {
  Dispatcher dispatcher = MakeDispatcher({Upstream("a")});
  dispatcher.OnPeerLoad("h2", {{PeerUpstreamKey("a"), 2}}, kStart);
  CHECK(PlaceOne(dispatcher, 1).empty());
  CHECK(dispatcher.Place(kStart + seconds(2)).size() == 1);
}

// Guards against counting an earlier report of a host in addition to its newest
// one, and against losing the load reported for an upstream before it is
// listed.
TEST_CASE("a report replaces the previous one and survives a list update") {
  Dispatcher dispatcher = MakeDispatcher({Upstream("a", "near", 3)});
  dispatcher.OnPeerLoad("h2", {{PeerUpstreamKey("a"), 2}}, kStart);
  dispatcher.OnPeerLoad(
      "h2", {{PeerUpstreamKey("a"), 1}, {PeerUpstreamKey("b"), 3}}, kStart);
  dispatcher.SetUpstreams({Upstream("a", "near", 3), Upstream("b", "near", 3)},
                          kStart);
  CHECK(dispatcher.upstreams().at("a").running() == 1);
  CHECK(dispatcher.upstreams().at("b").running() == 3);
}

// Guards against head-of-line blocking: requests that can still be on time come
// first, then the order is by priority and by due time.
TEST_CASE("waiting requests are placed in order of urgency") {
  Dispatcher dispatcher = MakeDispatcher({Upstream("a", "near", 1)});
  const MonotonicTime now = kStart + milliseconds(600);
  dispatcher.Enqueue(Request(1, 0, milliseconds(500)));
  dispatcher.Enqueue(Request(2, 2));
  dispatcher.Enqueue(Request(3, 1));
  dispatcher.Enqueue(Request(4, 1, milliseconds(900)));
  std::vector<std::uint64_t> order;
  for (int n = 0; n < 4; ++n) {
    for (const Placement& it : dispatcher.Place(now)) {
      order.push_back(it.request);
    }
    dispatcher.OnEnded("a", DispatchResult::kServed, now);
  }
  CHECK(order == std::vector<std::uint64_t>{4, 3, 2, 1});
}

// Guards against new requests to an upstream that is draining, is no longer
// listed, or whose address is used by a different process.
TEST_CASE("draining, removed and replaced upstreams get no requests") {
  Dispatcher dispatcher = MakeDispatcher({Upstream("a")});
  UpstreamEntry draining = Upstream("a");
  draining.draining = true;
  dispatcher.SetUpstreams({draining}, kStart);
  CHECK(PlaceOne(dispatcher, 1).empty());
  dispatcher.SetUpstreams({}, kStart);
  CHECK(dispatcher.Place(kStart).empty());
  dispatcher.SetUpstreams({Upstream("b")}, kStart);
  CHECK(dispatcher.Place(kStart).size() == 1);
  dispatcher.OnEnded("b", DispatchResult::kReplaced, kStart);
  CHECK(PlaceOne(dispatcher, 2).empty());
  UpstreamEntry restarted = Upstream("b");
  restarted.started_at_ms = 5;
  dispatcher.SetUpstreams({restarted}, kStart);
  CHECK(dispatcher.Place(kStart).size() == 1);
}

// Guards against a crashed upstream attracting all requests because it looks
// idle, and against excluding every upstream when all are suspect.
TEST_CASE("broken upstreams are avoided while another one is trusted") {
  Dispatcher dispatcher =
      MakeDispatcher({Upstream("a", "near", 1), Upstream("b", "far", 1)});
  CHECK(PlaceOne(dispatcher, 1) == "a");
  dispatcher.OnEnded("a", DispatchResult::kTransportError, kStart);
  CHECK(PlaceOne(dispatcher, 2) == "b");
  CHECK(PlaceOne(dispatcher, 3).empty());
  dispatcher.OnEnded("b", DispatchResult::kTransportError, kStart);
  CHECK(dispatcher.Place(kStart).size() == 1);
}

// Guards against a stream or an idempotent request failing because a second
// upstream becomes free only shortly after the request is due. A new request in
// the same position is refused.
TEST_CASE("a request that was sent before waits while its caller does") {
  struct Case {
    bool was_sent;
    std::size_t rejections;
  };
  for (const Case& it : {Case{false, 1}, Case{true, 0}}) {
    CAPTURE(it.was_sent);
    Dispatcher dispatcher = MakeDispatcher({Upstream("a", "near", 1)});
    CHECK(PlaceOne(dispatcher, 1) == "a");
    WaitingRequest request = Request(2);
    request.was_sent = it.was_sent;
    dispatcher.Enqueue(request);
    const MonotonicTime now = kStart + milliseconds(800);
    CHECK(dispatcher.Place(now).empty());
    CHECK(dispatcher.Reject(now).size() == it.rejections);
  }
}

// Guards against a request that waits until its time limit because it was
// already sent to every upstream of its service.
TEST_CASE("upstreams that were tried are tried again when no other is left") {
  Dispatcher dispatcher = MakeDispatcher({Upstream("a"), Upstream("b")});
  WaitingRequest request = Request(1);
  request.excluded_upstreams = {"a", "b"};
  dispatcher.Enqueue(request);
  dispatcher.OnEnded("b", DispatchResult::kTransportError, kStart);
  const std::vector<Placement> placements = dispatcher.Place(kStart);
  REQUIRE(placements.size() == 1);
  CHECK(placements[0].upstream.id == "a");
}

// Guards against retrying without a delay at the only upstream while it refuses
// every connection.
TEST_CASE("a tried upstream is avoided for a while after a transport error") {
  Dispatcher dispatcher = MakeDispatcher({Upstream("a")});
  WaitingRequest request = Request(1);
  request.excluded_upstreams = {"a"};
  dispatcher.Enqueue(request);
  dispatcher.OnEnded("a", DispatchResult::kTransportError, kStart);
  CHECK(dispatcher.Place(kStart).empty());
  CHECK(dispatcher.Place(kStart + seconds(1)).size() == 1);
}

// Guards against a health change that is reported twice or not at all, and
// against a crash that ends several requests at once and thereby keeps its
// upstream out of use for as long as repeated crashes.
TEST_CASE(
    "the result of a request determines the health change of its upstream") {
  Dispatcher dispatcher = MakeDispatcher({Upstream("a")});
  struct Step {
    int at_ms;
    DispatchResult result;
    HealthChange change;
    int suspect_for_ms;
  };
  for (const Step& it :
       {Step{0, DispatchResult::kServed, HealthChange::kNone, 0},
        Step{0, DispatchResult::kTransportError, HealthChange::kSuspected, 500},
        Step{0, DispatchResult::kTransportError, HealthChange::kNone, 500},
        Step{499, DispatchResult::kTransportError, HealthChange::kNone, 1},
        Step{500, DispatchResult::kTransportError, HealthChange::kSuspected,
             1000},
        Step{500, DispatchResult::kRefused, HealthChange::kNone, 1000},
        Step{500, DispatchResult::kServed, HealthChange::kRecovered, 0},
        Step{500, DispatchResult::kServed, HealthChange::kNone, 0},
        Step{500, DispatchResult::kReplaced, HealthChange::kReplaced, 0},
        Step{500, DispatchResult::kReplaced, HealthChange::kNone, 0}}) {
    CAPTURE(it.at_ms);
    const MonotonicTime now = kStart + milliseconds(it.at_ms);
    CHECK(dispatcher.OnEnded("a", it.result, now) == it.change);
    CHECK(dispatcher.upstreams().at("a").RemainingSuspicion(now) ==
          milliseconds(it.suspect_for_ms));
  }
  CHECK(dispatcher.OnEnded("b", DispatchResult::kTransportError, kStart) ==
        HealthChange::kNone);
}

// Guards against long outputs going to slow upstreams, where they exceed their
// time limit.
TEST_CASE("long outputs go to fast upstreams") {
  Dispatcher dispatcher = MakeDispatcher(
      {Upstream("fast", "near", 8), Upstream("slow", "near", 8)});
  for (int n = 0; n < 20; ++n) {
    dispatcher.OnEventInterval("fast", milliseconds(15));
    dispatcher.OnEventInterval("slow", milliseconds(60));
  }
  for (std::uint64_t id = 1; id <= 7; ++id) {
    WaitingRequest request = Request(id);
    request.expected_output_tokens = 1500;
    dispatcher.Enqueue(request);
  }
  for (const Placement& it : dispatcher.Place(kStart)) {
    CHECK(it.upstream.id == "fast");
  }
}

}  // namespace
}  // namespace flamingogauge
