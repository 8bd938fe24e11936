#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "libs/coordination/coordinator.h"
#include "libs/coordination/placer.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{std::chrono::hours(1)};
constexpr int kSlots = 7;
constexpr int kUpstreams = 40;

MonotonicTime At(int ms) {
  return kStart + milliseconds(ms);
}

UpstreamEntry Upstream(const std::string& id,
                       const std::string& data_centre = "z") {
  return {.id = id,
          .service = "s",
          .address = id + ":80",
          .data_centre = data_centre,
          .slots = kSlots};
}

std::vector<UpstreamEntry> ManyUpstreams() {
  std::vector<UpstreamEntry> upstreams;
  for (int n = 0; n < kUpstreams; ++n) {
    upstreams.push_back(Upstream("u" + std::to_string(n)));
  }
  return upstreams;
}

Coordinator MakeCoordinator(const std::string& data_centre,
                            const std::vector<UpstreamEntry>& upstreams) {
  Coordinator coordinator(
      {.host = "c-" + data_centre,
       .process = 42,
       .dispatcher = {.data_centre = data_centre,
                      .regions = {{"z", "r"}, {"y", "r"}}}});
  coordinator.SetUpstreams(upstreams, kStart);
  return coordinator;
}

// The state of a host that has received `result` for requests to upstreams.
HostMessage StateWith(std::uint64_t sequence,
                      const std::vector<std::string>& upstreams,
                      DispatchResult result) {
  HostMessage state{
      .host = "h", .address = "h", .process = 1, .sequence = sequence};
  std::uint64_t number = sequence * 1000;
  for (const std::string& it : upstreams) {
    state.results.push_back({.number = ++number,
                             .upstream = PeerUpstreamKey(it),
                             .result = result});
  }
  return state;
}

int LimitOf(const Coordinator& coordinator,
            const std::string& id,
            MonotonicTime now) {
  return coordinator.dispatcher().upstreams().at(id).Limit(now);
}

// Guards against a data centre that goes on filling an upstream of which
// another one knows that it has just broken, also if reports are lost, come
// twice or out of order.
TEST_CASE("a learned pace reaches the other data centres") {
  const std::vector<UpstreamEntry> upstreams = {Upstream("a"), Upstream("b")};
  struct Case {
    std::string what;
    // The order in which reports arrive, by their number; others are lost.
    std::vector<std::size_t> arrivals;
  };
  for (const Case& it : std::vector<Case>{{"in order", {0, 1, 2}},
                                          {"twice", {0, 0, 1, 1, 2, 2}},
                                          {"the first one lost", {1, 2}},
                                          {"out of order", {0, 2, 1, 0}}}) {
    CAPTURE(it.what);
    Coordinator near = MakeCoordinator("z", upstreams);
    Coordinator far = MakeCoordinator("y", upstreams);
    near.OnHostMessage(StateWith(1, {"a"}, DispatchResult::kTransportError),
                       At(0));
    std::vector<FleetSummary> reports;
    for (int n = 0; n < 3; ++n) {
      reports.push_back(near.DataCentreReport(At(10 + n * 210)));
    }
    CHECK(LimitOf(far, "a", At(0)) == kSlots);
    for (const std::size_t n : it.arrivals) {
      far.OnDataCentreReport(reports[n], At(500));
    }
    CHECK(LimitOf(far, "a", At(500)) == 1);
    CHECK(LimitOf(far, "b", At(500)) == kSlots);
  }
}

// Guards against a report that undoes what a coordinator has learned from
// newer answers.
TEST_CASE("what a coordinator has learned later stands") {
  const std::vector<UpstreamEntry> upstreams = {Upstream("a")};
  Coordinator near = MakeCoordinator("z", upstreams);
  Coordinator far = MakeCoordinator("y", upstreams);
  near.OnHostMessage(StateWith(1, {"a"}, DispatchResult::kRefused), At(0));
  const FleetSummary report = near.DataCentreReport(At(100));
  CHECK(LimitOf(near, "a", At(100)) == kSlots / 2);
  far.OnHostMessage(StateWith(1, {"a"}, DispatchResult::kTransportError),
                    At(200));
  far.OnDataCentreReport(report, At(210));
  CHECK(LimitOf(far, "a", At(210)) == 1);
}

// Guards against bytes between data centres that grow with the upstreams that
// change, as after a cut, or with the rate of reports.
TEST_CASE("reports hold a bounded number of paces, a few times a second") {
  Coordinator coordinator = MakeCoordinator("z", ManyUpstreams());
  std::vector<std::string> ids;
  for (const UpstreamEntry& it : ManyUpstreams()) {
    ids.push_back(it.id);
  }
  coordinator.OnHostMessage(StateWith(1, ids, DispatchResult::kTransportError),
                            kStart);
  std::size_t paces = 0;
  std::size_t largest = 0;
  for (int ms = 0; ms < 2000; ms += 25) {
    const FleetSummary report = coordinator.DataCentreReport(At(ms));
    paces += report.paces.size();
    largest = std::max(largest, report.paces.size());
  }
  CHECK(largest <= 16);
  // Three reports hold them until the changes are half a second old.
  CHECK(paces <= 3 * 16);
  CHECK(paces > 0);
}

// Guards against a host that fills an upstream as soon as its coordinator is
// silent, although it was told that the upstream is broken.
TEST_CASE("a host that places alone uses the pace that it last heard of") {
  Coordinator coordinator = MakeCoordinator("z", {Upstream("a")});
  coordinator.OnHostMessage(StateWith(1, {"a"}, DispatchResult::kRefused),
                            At(0));
  std::vector<AddressedMessage<FleetSummary>> summaries =
      coordinator.SummariesForHosts(true, At(100));
  REQUIRE(summaries.size() == 1);
  Placer placer({.host = "h", .process = 1, .data_centre = "z"});
  placer.SetHosts({{.name = "c-z", .data_centre = "z", .capacity = 1}}, At(0));
  placer.SetUpstreams({Upstream("a")}, At(0));
  placer.OnSummary(summaries[0].message, At(101));
  CHECK(placer.upstreams().at("a").Limit(At(101)) == kSlots / 2);
}

// Guards against two coordinators that see the same free upstreams in reports
// of the same moment and fill them twice.
TEST_CASE("two coordinators do not both fill the same upstreams") {
  std::vector<UpstreamEntry> upstreams;
  for (int n = 0; n < 4; ++n) {
    upstreams.push_back(Upstream("z" + std::to_string(n), "z"));
    upstreams.push_back(Upstream("y" + std::to_string(n), "y"));
  }
  Coordinator near = MakeCoordinator("z", upstreams);
  Coordinator far = MakeCoordinator("y", upstreams);
  // All of the far upstreams are full, so that the requests of both
  // coordinators go to the near ones.
  constexpr int kWaiting = 4 * kSlots;
  FleetSummary report{
      .coordinator = "c-z", .data_centre = "z", .process = 42, .sequence = 1};
  far.OnDataCentreReport(report, kStart);
  std::vector<int> sent;
  for (Coordinator* it : {&near, &far}) {
    HostMessage state{.host = "h", .address = "h", .process = 1, .sequence = 1};
    for (int n = 0; n < 4; ++n) {
      state.running[PeerUpstreamKey("y" + std::to_string(n))] = kSlots;
    }
    for (std::uint64_t ticket = 1; ticket <= kWaiting; ++ticket) {
      state.requests.push_back({.ticket = ticket,
                                .service = "s",
                                .due_in = seconds(5),
                                .start_in = seconds(8),
                                .deadline_in = seconds(20)});
      state.waiting.push_back(ticket);
    }
    it->OnHostMessage(state, kStart);
    int grants = 0;
    for (const auto& reply : it->Run(kStart)) {
      for (const PlacementGrant& grant : reply.message.grants) {
        for (int n = 0; n < 4; ++n) {
          grants += grant.upstream == PeerUpstreamKey("z" + std::to_string(n))
                        ? 1
                        : 0;
        }
      }
    }
    sent.push_back(grants);
  }
  CHECK(sent[0] == kWaiting);
  // Less than half of the slots are taken twice until the next report.
  CHECK(sent[1] < kWaiting / 2);
  // The others follow once reports would have shown that they are still free.
  report.sequence = 2;
  far.OnDataCentreReport(report, At(300));
  int later = 0;
  for (const auto& reply : far.Run(At(300))) {
    later += static_cast<int>(reply.message.grants.size());
  }
  CHECK(later > 0);
}

// Guards against requests that are refused beside free places, because these
// are left to coordinators that do not exist or have fallen silent.
TEST_CASE("a coordinator that knows of no other one leaves no place free") {
  Coordinator far = MakeCoordinator("y", {Upstream("a", "z")});
  far.OnDataCentreReport(
      {.coordinator = "c-z", .data_centre = "z", .process = 42, .sequence = 1},
      kStart);
  HostMessage state{.host = "h", .address = "h", .process = 1, .sequence = 1};
  for (std::uint64_t ticket = 1; ticket <= kSlots; ++ticket) {
    state.requests.push_back({.ticket = ticket,
                              .service = "s",
                              .due_in = seconds(5),
                              .start_in = seconds(8),
                              .deadline_in = seconds(20)});
    state.waiting.push_back(ticket);
  }
  const MonotonicTime now = At(1600);
  far.OnHostMessage(state, now);
  std::size_t grants = 0;
  for (const auto& reply : far.Run(now)) {
    grants += reply.message.grants.size();
  }
  CHECK(grants == kSlots);
}

}  // namespace
}  // namespace flamingogauge
