#ifndef FLAMINGOGAUGE_LIBS_MEMBERSHIP_MEMBERSHIP_OPTIONS_H_
#define FLAMINGOGAUGE_LIBS_MEMBERSHIP_MEMBERSHIP_OPTIONS_H_

#include <chrono>
#include <cstddef>

namespace flamingogauge {

// Described in section 7 of docs/design.md.
struct MembershipOptions {
  std::chrono::milliseconds heartbeat_interval{500};
  // Interval between two heartbeats of one pair of gateways. Two data centres
  // are connected by two pairs, which together send one heartbeat per second.
  // One per second for each pair would take a gateway in a deployment of 13
  // data centres beyond 11 KB/s.
  std::chrono::milliseconds gateway_interval{2000};
  // Interval between two heartbeats to a neighbour with pending changes.
  std::chrono::milliseconds push_interval{100};
  // Time without messages after which a new connection is opened.
  std::chrono::milliseconds silence_limit{1500};
  std::chrono::milliseconds gateway_silence_limit{4500};
  // Time without a reply on the new connection after which a host is suspected
  // or a data centre counts as unreachable.
  std::chrono::milliseconds probe_limit{1000};
  // Time a suspected host has to refute the suspicion before it is declared
  // dead.
  std::chrono::milliseconds suspicion_limit{3000};
  // Time a host has to refute being declared dead without a prior suspicion.
  // Until then the view shows it as suspected.
  std::chrono::milliseconds death_grace{1000};
  // Interval between two attempts to reach a dead or unknown host.
  std::chrono::milliseconds contact_interval{2000};
  // Gap in activity from which this process is considered to have been paused.
  std::chrono::milliseconds pause_limit{1000};
  // How long dead entries are kept.
  std::chrono::milliseconds tombstone_retention{3600000};
  // How long dead entries are sent to new hosts and listed in the view.
  std::chrono::milliseconds tombstone_sync_limit{60000};
  // Time since its first received message after which a process no longer
  // raises its epoch above that of another live process with the same host
  // name.
  std::chrono::milliseconds takeover_limit{10000};
  std::size_t ring_successors = 4;
  std::size_t gateways = 2;
  std::size_t max_changes_per_message = 24;
  std::size_t max_entries = 4096;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_MEMBERSHIP_MEMBERSHIP_OPTIONS_H_
