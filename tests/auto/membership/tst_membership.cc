#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "libs/membership/membership.h"
#include "tests/auto/membership/membership_network.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Adds and starts `hosts` hosts in each of the data centres "dc0", "dc1", ...;
// a region contains two data centres.
void AddHosts(MembershipNetwork* network, int data_centres, int hosts) {
  for (int d = 0; d < data_centres; ++d) {
    for (int h = 0; h < hosts; ++h) {
      network->AddHost("dc" + std::to_string(d),
                       "region" + std::to_string(d / 2));
    }
  }
  for (std::size_t n = 0; n < network->size(); ++n) {
    network->Start(n);
  }
}

// Guards against false suspicions in a network without faults and against a
// startup that takes longer than 5 s to converge.
TEST_CASE("Hosts find each other and suspect nobody without faults") {
  MembershipNetwork network(1);
  AddHosts(&network, 4, 7);
  network.RunFor(seconds(5));
  REQUIRE(network.IsConverged());
  bool is_stable = true;
  network.after_tick = [&is_stable, &network](MembershipNetwork::Host&) {
    is_stable = is_stable && network.IsConverged();
  };
  network.RunFor(seconds(5));
  CHECK(is_stable);
}

// Guards against a stopped host that stays listed as alive, and against one
// that is suspected or declared dead before the silence, probe and suspicion
// limits have passed.
TEST_CASE("A stopped host is suspected, then dead, everywhere") {
  MembershipNetwork network(2);
  AddHosts(&network, 3, 9);
  network.RunFor(seconds(6));
  REQUIRE(network.IsConverged());
  const Member gone = network.host(4).self;
  network.Stop(4);
  network.RunFor(milliseconds(1900));
  CHECK(network.StateIn(0, 4) == MemberState::kAlive);
  network.RunFor(milliseconds(2100));
  CHECK(network.StateIn(0, 4) == MemberState::kSuspected);
  network.RunFor(milliseconds(3500));
  CHECK(network.StateIn(0, 4) == MemberState::kDead);
  CHECK(network.StateIn(20, 4) == MemberState::kDead);
  network.RunFor(seconds(60));
  network.Start(4);
  network.RunFor(seconds(3));
  CHECK(network.IsConverged());
  CHECK(network.host(4).self.incarnation != gone.incarnation);
}

// Guards against a restarted host that is accepted only after its old process
// has been declared dead, with a correct wall clock and with one that is
// behind.
TEST_CASE("A new incarnation replaces the old one at once") {
  for (const milliseconds clock_error :
       {milliseconds(0), milliseconds(-90000)}) {
    MembershipNetwork network(3);
    AddHosts(&network, 2, 6);
    network.RunFor(seconds(6));
    network.Stop(7);
    network.Start(7, clock_error);
    network.RunFor(milliseconds(2500));
    CHECK(network.IsConverged());
  }
}

// Guards against a new process that considers itself replaced by its dead
// predecessor. This can happen if its clock is behind and it was unreachable
// when it started.
TEST_CASE("A new process that is unreachable at startup replaces the old one") {
  for (const milliseconds cut_off : {milliseconds(2000), milliseconds(15000)}) {
    MembershipNetwork network(8);
    AddHosts(&network, 2, 6);
    network.RunFor(seconds(6));
    network.Stop(7);
    network.host(7).partition = 1;
    network.Start(7, milliseconds(-90000));
    network.RunFor(cut_off);
    network.host(7).partition = 0;
    network.RunFor(seconds(10));
    CHECK(network.IsConverged());
  }
}

// Guards against hosts declared dead because their data centre is unreachable,
// and against a data centre that does not recover when it is reachable again.
TEST_CASE("Hosts of an unreachable data centre are suspected, never dead") {
  MembershipNetwork network(4);
  AddHosts(&network, 3, 6);
  network.RunFor(seconds(6));
  for (std::size_t n = 12; n < 18; ++n) {
    network.host(n).partition = 1;
  }
  network.RunFor(seconds(10));
  CHECK(network.StateIn(0, 12) == MemberState::kSuspected);
  CHECK(network.StateIn(13, 0) == MemberState::kSuspected);
  CHECK(network.StateIn(13, 12) == MemberState::kAlive);
  network.RunFor(seconds(120));
  CHECK(network.StateIn(5, 17) == MemberState::kSuspected);
  for (std::size_t n = 12; n < 18; ++n) {
    network.host(n).partition = 0;
  }
  network.RunFor(seconds(6));
  CHECK(network.IsConverged());
}

// Guards against a host that, after an isolation or a pause, publishes
// suspicions of hosts that were healthy throughout.
TEST_CASE("A host that was isolated or paused publishes no suspicions") {
  for (const bool is_pause : {false, true}) {
    MembershipNetwork network(5);
    AddHosts(&network, 2, 8);
    network.RunFor(seconds(6));
    if (is_pause) {
      network.Pause(3, seconds(600));
    } else {
      network.host(3).partition = 1;
    }
    network.RunFor(seconds(60));
    CHECK(network.StateIn(0, 3) == MemberState::kDead);
    if (!is_pause) {
      CHECK(network.StateIn(3, 0) == MemberState::kSuspected);
    }
    bool is_harmless = true;
    network.after_tick = [&](MembershipNetwork::Host& host) {
      const auto members = host.membership->view();
      for (const Member& it : *members) {
        is_harmless =
            is_harmless && (it.host == network.host(3).self.host ||
                            host.self.host == network.host(3).self.host ||
                            it.state == MemberState::kAlive);
      }
    };
    network.host(3).partition = 0;
    network.RunFor(seconds(560));
    CHECK(is_harmless);
    CHECK(network.IsConverged());
  }
}

// Guards against a host that resumes after a pause and declares a suspected
// host dead before it could receive that host's refutation.
TEST_CASE("A pause does not count towards the suspicion limit") {
  const MonotonicTime start{std::chrono::hours(1)};
  const auto entry = [](const HostId& host, MemberState state) {
    return MemberEntry{
        .member = {.host = host,
                   .data_centre = "dc",
                   .region = "r",
                   .peer_address = host,
                   .incarnation = {.high = 1,
                                   .low = static_cast<std::uint64_t>(host[0])},
                   .state = state},
        .epoch = 1,
        .unreachable = {}};
  };
  Membership membership(entry("a", MemberState::kAlive).member, 1, {}, start);
  Heartbeat heartbeat{.from = "b",
                      .incarnation = {.high = 1, .low = 'b'},
                      .changes = {entry("b", MemberState::kAlive),
                                  entry("x", MemberState::kSuspected)}};
  membership.OnRequest(heartbeat, start);
  heartbeat.changes.clear();
  const auto state_after = [&](milliseconds time) {
    membership.OnRequest(heartbeat, start + time);
    membership.Tick(start + time);
    const auto members = membership.view();
    return members->back().state;
  };
  CHECK(state_after(milliseconds(500)) == MemberState::kSuspected);
  CHECK(state_after(seconds(100)) == MemberState::kSuspected);
  milliseconds time = seconds(100);
  while (time < seconds(102)) {
    time += milliseconds(50);
    CHECK(state_after(time) == MemberState::kSuspected);
  }
  while (time < seconds(105)) {
    time += milliseconds(50);
    state_after(time);
  }
  CHECK(state_after(time) == MemberState::kDead);
}

// Guards against a restarted host that never receives the entries which its
// earlier process had sent to its neighbours.
TEST_CASE("An entry is omitted only for the process that sent it") {
  MemberTable table;
  const Incarnation sender{.high = 1, .low = 1};
  const Incarnation restarted{.high = 1, .low = 2};
  const MonotonicTime now{std::chrono::hours(1)};
  table.Merge({.member = {.host = "x", .incarnation = {.high = 3, .low = 3}},
               .epoch = 1,
               .unreachable = {}},
              sender, now);
  std::vector<MemberEntry> changes;
  CHECK(table.CollectChanges(0, sender, 10, now, &changes) == table.head());
  CHECK(changes.empty());
  table.CollectChanges(0, restarted, 10, now, &changes);
  CHECK(changes.size() == 1);
}

// Guards against acknowledging changes while earlier ones are still missing.
TEST_CASE("Changes are acknowledged only without a gap") {
  const MonotonicTime now{std::chrono::hours(1)};
  Membership membership({.host = "a", .data_centre = "dc", .incarnation = {}},
                        1, {}, now);
  Heartbeat request{.from = "b",
                    .incarnation = {.high = 1, .low = 2},
                    .base = 5,
                    .sequence = 9,
                    .changes = {}};
  CHECK(membership.OnRequest(request, now).acknowledged == 0);
  request.base = 0;
  request.sequence = 5;
  CHECK(membership.OnRequest(request, now).acknowledged == 5);
}

// Guards against a leaving host that other hosts still choose for new work
// because they do not learn of it in time.
TEST_CASE("A leaving host is known as leaving everywhere within 2 s") {
  MembershipNetwork network(6);
  AddHosts(&network, 4, 7);
  network.RunFor(seconds(6));
  network.host(9).membership->AnnounceLeaving(network.now());
  network.RunFor(seconds(2));
  for (std::size_t n = 0; n < network.size(); ++n) {
    CHECK(network.StateIn(n, 9) == MemberState::kLeaving);
  }
}

// Guards against a new document revision that is passed on only with the
// regular heartbeats, which is too slow in a data centre of 28 hosts.
TEST_CASE("A document revision reaches 28 hosts within 1 s") {
  MembershipNetwork network(7);
  AddHosts(&network, 1, 28);
  network.RunFor(seconds(6));
  // Each host adopts the highest revision in its view.
  network.after_tick = [](MembershipNetwork::Host& host) {
    const auto members = host.membership->view();
    for (const Member& it : *members) {
      host.membership->SetDocumentRevision(it.document_revision);
    }
  };
  network.host(5).membership->SetDocumentRevision(8);
  network.RunFor(seconds(1));
  for (std::size_t n = 0; n < network.size(); ++n) {
    CHECK(network.host(n).membership->view()->front().document_revision == 8);
  }
}

// Applies one random fault or ends the partitions.
void InjectRandomFault(MembershipNetwork* network) {
  Random& random = network->random();
  const std::size_t n = random.NextBelow(network->size());
  switch (random.NextBelow(7)) {
    case 0:
      network->Stop(n);
      return;
    case 1:
      network->Stop(n);
      network->Start(n, milliseconds(random.NextBelow(4000)) - seconds(2));
      return;
    case 2:
      network->Pause(n, milliseconds(random.NextBelow(20000)));
      return;
    case 3:
      for (std::size_t it = 0; it < network->size(); ++it) {
        network->host(it).partition = static_cast<int>(random.NextBelow(2));
      }
      return;
    case 4:
      network->host(n).partition = 2;
      return;
    case 5:
      network->faults() = {
          .loss = random.NextDouble() * 0.4,
          .duplication = random.NextDouble() * 0.3,
          .max_extra_delay = milliseconds(random.NextBelow(2000))};
      return;
    default:
      for (std::size_t it = 0; it < network->size(); ++it) {
        network->host(it).partition = 0;
      }
  }
}

std::uint64_t EnvironmentNumber(const char* name, std::uint64_t default_value) {
  const char* text = std::getenv(name);
  return text == nullptr ? default_value : std::strtoull(text, nullptr, 10);
}

// Guards against views that do not converge after the faults have ended. This
// test and the invariants in the membership code also check that a dead entry
// never becomes live again without a higher version.
TEST_CASE("Views agree again after random faults") {
  const std::uint64_t first = EnvironmentNumber("MEMBERSHIP_SEED", 1);
  const std::uint64_t count = EnvironmentNumber("MEMBERSHIP_SEEDS", 12);
  std::uint64_t events = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    INFO("seed " << seed);
    MembershipNetwork network(seed);
    AddHosts(&network, 1 + static_cast<int>(seed % 3),
             2 + static_cast<int>(seed % 5));
    // The entry version last seen as dead, by the incarnations of the viewing
    // and of the dead host.
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::uint32_t> dead;
    network.after_tick = [&dead](MembershipNetwork::Host& host) {
      const auto members = host.membership->view();
      for (const Member& it : *members) {
        const std::pair key(host.self.incarnation.low, it.incarnation.low);
        const auto found = dead.find(key);
        if (it.state == MemberState::kDead) {
          dead[key] = it.entry_version;
        } else if (found != dead.end()) {
          REQUIRE(it.entry_version > found->second);
        }
      }
    };
    for (int step = 0; step < 25; ++step) {
      InjectRandomFault(&network);
      network.RunFor(milliseconds(network.random().NextBelow(8000)));
    }
    network.faults() = {};
    for (std::size_t n = 0; n < network.size(); ++n) {
      network.host(n).partition = 0;
      if (!network.host(n).membership) {
        network.Start(n);
      }
    }
    network.RunFor(seconds(90));
    CHECK(network.IsConverged());
    events += network.events();
  }
  std::printf("membership: seeds %llu to %llu, %llu events\n",
              static_cast<unsigned long long>(first),
              static_cast<unsigned long long>(first + count - 1),
              static_cast<unsigned long long>(events));
}

}  // namespace
}  // namespace flamingogauge
