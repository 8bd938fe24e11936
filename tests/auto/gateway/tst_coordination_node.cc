#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/socket.h>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "libs/dispatching/crash_quarantine.h"
#include "libs/kernel/boot_clock.h"
#include "plugins/gateway/coordination_node.h"
#include "tests/support/free_address.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kInterval{20};
constexpr milliseconds kTimeLimit{5000};
constexpr std::uint64_t kProcess = 1;

UpstreamEntry TheUpstream(int slots) {
  return {.id = "u",
          .service = "s",
          .address = "127.0.0.1:1",
          .data_centre = "d1",
          .slots = slots};
}

// One host with its placer and node, run on the test's thread.
class Host {
 public:
  Host(boost::asio::io_context& io,
       const std::string& name,
       const std::string& data_centre,
       double capacity)
      : entry_{.name = name,
               .report_address = FreeAddress(SOCK_DGRAM),
               .data_centre = data_centre,
               .capacity = capacity},
        placer_({.host = name,
                 .process = kProcess,
                 .data_centre = data_centre,
                 .dispatcher = {.data_centre = data_centre}}),
        node_(
            io,
            {.host = name,
             .data_centre = data_centre,
             .report_address = entry_.report_address,
             .report_interval = kInterval},
            kProcess,
            placer_,
            log_,
            metrics_,
            {.complete_state =
                 [this](HostMessage& message) {
                   message.draining = is_draining;
                   message.usage["w"] = {.spent = spent};
                   message.evidence = crashes.Report(BootTimeNow());
                 },
             .on_placed = [] {},
             .on_summary =
                 [this](const FleetSummary& summary) {
                   last_summary = summary;
                 },
             .on_crash_evidence =
                 [this](const CrashEvidence& evidence) {
                   crashes.Merge(evidence, BootTimeNow());
                 },
             .crash_evidence = [this] { return crashes.Report(BootTimeNow()); },
             .is_draining = [this] { return is_draining; },
             .on_host_gone = [](const std::string&) {},
             .on_host_unlisted =
                 [this](const std::string& host) { unlisted.insert(host); }}) {}

  void Start(const std::vector<HostEntry>& listed, int slots = 1) {
    node_.SetHosts(listed);
    placer_.SetUpstreams({TheUpstream(slots)}, BootTimeNow());
    node_.SetUpstreams({TheUpstream(slots)});
    REQUIRE(node_.Start().has_value());
  }
  void Submit(std::uint64_t id) {
    const MonotonicTime now = BootTimeNow();
    placer_.Enqueue({.id = id,
                     .service = "s",
                     .arrived_at = now,
                     .due_at = now + std::chrono::seconds(20),
                     .start_by = now + std::chrono::seconds(20),
                     .deadline = now + std::chrono::seconds(20)});
    node_.OnPlacerChanged();
  }
  bool HasPlacement() {
    for (const Placement& it : placer_.Place(BootTimeNow())) {
      placements.push_back(it.request);
    }
    return !placements.empty();
  }
  const HostEntry& entry() const { return entry_; }
  CoordinationNode& node() { return node_; }
  Placer& placer() { return placer_; }

  bool is_draining = false;
  double spent = 0;
  CrashQuarantine crashes;
  FleetSummary last_summary;
  std::vector<std::uint64_t> placements;
  std::set<std::string> unlisted;

 private:
  EventLog log_{{.output = ::open("/dev/null", O_WRONLY)}};
  MetricsRegistry metrics_;
  const HostEntry entry_;
  Placer placer_;
  CoordinationNode node_;
};

// Runs `io` until the condition holds; returns false after the time limit.
bool RunUntil(boost::asio::io_context& io,
              const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + kTimeLimit;
  while (!condition() && std::chrono::steady_clock::now() < deadline) {
    io.run_for(kInterval / 4);
  }
  return condition();
}

// Guards against the pieces of the coordination working alone but not together
// over the network.
TEST_CASE(
    "hosts get their requests placed by the coordinator over the network") {
  boost::asio::io_context io;
  Host coordinator(io, "c", "d1", 0.9);
  Host first(io, "h1", "d1", 0.1);
  Host second(io, "h2", "d1", 0.1);
  const std::vector<HostEntry> listed = {coordinator.entry(), first.entry(),
                                         second.entry()};
  for (Host* it : {&coordinator, &first, &second}) {
    it->Start(listed);
  }
  first.Submit(1);
  REQUIRE(RunUntil(io, [&] { return first.HasPlacement(); }));
  second.Submit(2);
  io.run_for(milliseconds(200));
  CHECK_FALSE(second.HasPlacement());
  CHECK(coordinator.node().coordinator().waiting_count() == 1);
  first.placer().OnEnded("u", DispatchResult::kServed, BootTimeNow());
  first.node().OnPlacerChanged();
  CHECK(RunUntil(io, [&] { return second.HasPlacement(); }));
  // The coordinator's own requests go the same way.
  second.placer().OnEnded("u", DispatchResult::kServed, BootTimeNow());
  second.node().OnPlacerChanged();
  coordinator.Submit(3);
  CHECK(RunUntil(io, [&] { return coordinator.HasPlacement(); }));
}

// Guards against requests that are lost with the coordinator.
TEST_CASE("requests are placed while the coordinator is dead") {
  boost::asio::io_context io;
  Host host(io, "h1", "d1", 0.1);
  // Nothing listens at the address of the coordinator.
  const HostEntry dead{.name = "c",
                       .report_address = FreeAddress(SOCK_DGRAM),
                       .data_centre = "d1",
                       .capacity = 0.9};
  host.Start({dead, host.entry()});
  host.Submit(1);
  CHECK(RunUntil(io, [&] { return host.HasPlacement(); }));
}

// Guards against limits that are not shared between data centres, and against
// reserving a share of the limits for a host that shuts down.
TEST_CASE("summaries cover all data centres and name hosts that shut down") {
  boost::asio::io_context io;
  Host near_coordinator(io, "c1", "d1", 0.9);
  Host near_host(io, "h1", "d1", 0.1);
  Host far_coordinator(io, "c2", "d2", 0.9);
  const std::vector<HostEntry> listed = {
      near_coordinator.entry(), near_host.entry(), far_coordinator.entry()};
  for (Host* it : {&near_coordinator, &near_host, &far_coordinator}) {
    it->Start(listed);
  }
  CHECK(near_host.node().HostCount() == 3);
  REQUIRE(RunUntil(
      io, [&] { return near_host.last_summary.reachable_hosts == 3; }));
  far_coordinator.spent = 70;
  near_coordinator.spent = 5;
  CHECK(RunUntil(io, [&] {
    const auto usage = near_host.last_summary.usage.find("w");
    return usage != near_host.last_summary.usage.end() &&
           usage->second.spent == 75;
  }));
  far_coordinator.is_draining = true;
  CHECK(RunUntil(io, [&] { return near_host.node().HostCount() == 2; }));
}

// Guards against a request that goes on crashing upstreams at hosts that were
// not told of the crashes, in another data centre or started later.
TEST_CASE("hosts of all data centres learn of crashes, also later ones") {
  boost::asio::io_context io;
  Host near_coordinator(io, "c1", "d1", 0.9);
  Host near_host(io, "h1", "d1", 0.1);
  Host far_coordinator(io, "c2", "d2", 0.9);
  Host far_host(io, "h2", "d2", 0.1);
  Host late_host(io, "h3", "d2", 0.1);
  const std::vector<HostEntry> listed = {
      near_coordinator.entry(), near_host.entry(), far_coordinator.entry(),
      far_host.entry(), late_host.entry()};
  for (Host* it :
       {&near_coordinator, &near_host, &far_coordinator, &far_host}) {
    it->Start(listed);
  }
  const RequestKeys keys{.request = 7};
  const auto refuses = [&keys](Host& host) {
    return host.crashes.FindQuarantined(keys, BootTimeNow()).has_value();
  };
  // Each host sees one of the three crashes.
  std::uint64_t upstream = 1;
  for (Host* it : {&near_coordinator, &near_host, &far_host}) {
    const MonotonicTime now = BootTimeNow();
    it->crashes.OnCrash(upstream++, keys, now, now);
  }
  const auto start = std::chrono::steady_clock::now();
  for (Host* it :
       {&near_coordinator, &near_host, &far_coordinator, &far_host}) {
    CHECK(RunUntil(io, [&] { return refuses(*it); }));
  }
  CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(1));
  late_host.Start(listed);
  CHECK(RunUntil(io, [&] { return refuses(late_host); }));
}

// Guards against a new host that has no part of the limits until the others
// have read the list of hosts again: they are told to read it at once.
TEST_CASE(
    "a message of a host that is not listed yet has the list read again") {
  boost::asio::io_context io;
  Host coordinator(io, "c", "d1", 0.9);
  Host added(io, "h1", "d1", 0.1);
  const std::vector<HostEntry> listed = {coordinator.entry(), added.entry()};
  coordinator.Start({coordinator.entry()});
  added.Start(listed);
  CHECK(RunUntil(io, [&] { return coordinator.unlisted.contains("h1"); }));
  CHECK(added.last_summary.process == 0);
  coordinator.node().SetHosts(listed);
  CHECK(RunUntil(io, [&] { return added.last_summary.reachable_hosts == 2; }));
  CHECK(coordinator.node().HostCount() == 2);
}

// Guards against callers and upstreams that pose as a host: they could take the
// load of upstreams, use up limits or have requests sent where they like.
TEST_CASE("datagrams that do not come from a listed host are ignored") {
  boost::asio::io_context io;
  Host coordinator(io, "c", "d1", 0.9);
  Host host(io, "h1", "d1", 0.1);
  const std::vector<HostEntry> listed = {coordinator.entry(), host.entry()};
  coordinator.Start(listed);
  host.Start(listed);
  const std::string stranger_address = FreeAddress(SOCK_DGRAM);
  DatagramSocket stranger(io, [](const std::string&, const std::string&) {});
  REQUIRE(stranger.Open(stranger_address));
  // Its message names a listed host, or itself.
  for (const HostMessage& it :
       std::vector<HostMessage>{{.host = "h1",
       .address = host.entry().report_address,
       .process = 9,
       .sequence = 1000000,
       .running = {{PeerUpstreamKey("u"), 1}}},
                                {.host = "h9",
                                .address = stranger_address,
                                .process = 9,
                                .sequence = 1,
                                .running = {{PeerUpstreamKey("u"), 1}}}}) {
    stranger.Send(EncodeCoordinationMessage(it),
                  coordinator.entry().report_address);
  }
  stranger.Send(
      EncodeCoordinationMessage(FleetSummary{
          .coordinator = "c", .process = 9, .sequence = 1, .draining = true}),
      host.entry().report_address);
  stranger.Send("no message", host.entry().report_address);
  io.run_for(milliseconds(200));
  CHECK(host.placer().Coordinator() == "c");
  CHECK(coordinator.node().coordinator().ReachableHosts(BootTimeNow()) == 2);
  host.Submit(1);
  CHECK(RunUntil(io, [&] { return host.HasPlacement(); }));
}

}  // namespace
}  // namespace flamingogauge
