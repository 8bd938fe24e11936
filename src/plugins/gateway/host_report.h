#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_HOST_REPORT_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_HOST_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libs/dispatching/crash_history.h"
#include "libs/dispatching/shared_rate_limiter.h"
#include "libs/kernel/error.h"

namespace flamingogauge {

// Load report that a host sends to the other hosts several times a second.
struct HostReport {
  std::string host;
  // True while the host shuts down; it no longer gets a share of limits.
  bool draining = false;
  // The host's requests in flight at each upstream, by PeerUpstreamKey.
  std::map<std::uint64_t, int> running;
  // Identifies the host's process; changes when it restarts.
  std::uint64_t process = 0;
  UsageByWorkspace usage;
  std::vector<CrashRecord> crashes;
  // Increases with each report of a process.
  std::uint64_t sequence = 0;
  // Address of a host that others may not have listed yet; otherwise empty.
  std::string report_address;
  std::string data_centre;
  // Reports of hosts in other data centres, for hosts of this data centre that
  // did not receive them. These contain no forwarded reports themselves.
  std::vector<HostReport> forwarded;
};

// Encodes and decodes the datagram format, a packed Cap'n Proto message.
std::string EncodeHostReport(const HostReport& report);
Result<HostReport> DecodeHostReport(const std::string& bytes);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_HOST_REPORT_H_
