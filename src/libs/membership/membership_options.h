#ifndef FLAMINGOGAUGE_LIBS_MEMBERSHIP_MEMBERSHIP_OPTIONS_H_
#define FLAMINGOGAUGE_LIBS_MEMBERSHIP_MEMBERSHIP_OPTIONS_H_

#include <chrono>
#include <cstddef>

namespace flamingogauge {

// See section 7 of docs/design.md.
struct MembershipOptions {
  std::chrono::milliseconds heartbeat_interval{500};
  // Between two heartbeats of one pair of gateways. The two pairs of two data
  // centres together make one a second; one a second for each pair would take
  // a gateway of 13 data centres beyond 11 KB/s.
  std::chrono::milliseconds gateway_interval{2000};
  // Between two heartbeats to one neighbour while changes wait for it.
  std::chrono::milliseconds push_interval{100};
  // Silence after which a new connection is opened.
  std::chrono::milliseconds silence_limit{1500};
  std::chrono::milliseconds gateway_silence_limit{4500};
  // Silence on the new connection after which a verdict is given.
  std::chrono::milliseconds probe_limit{1000};
  // Time for the refutation of a suspicion.
  std::chrono::milliseconds suspicion_limit{3000};
  // Time for the refutation of a death that arrives without a suspicion.
  std::chrono::milliseconds death_grace{1000};
  // Between two attempts to reach a dead or a not yet known host.
  std::chrono::milliseconds contact_interval{2000};
  // A gap between ticks that is taken for a pause of this process.
  std::chrono::milliseconds pause_limit{1000};
  // How long the death of a life is remembered, and told to new hosts.
  std::chrono::milliseconds tombstone_retention{3600000};
  std::chrono::milliseconds tombstone_sync_limit{60000};
  // After this time since its first contact a process does not outbid another
  // living one of its name.
  std::chrono::milliseconds takeover_limit{10000};
  std::size_t ring_successors = 4;
  std::size_t gateways = 2;
  std::size_t max_changes_per_message = 24;
  std::size_t max_entries = 4096;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_MEMBERSHIP_MEMBERSHIP_OPTIONS_H_
