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

// What one host tells the others several times a second.
struct HostReport {
  std::string host;
  // True when the host leaves; it gets no share of limits any more.
  bool draining = false;
  // Requests that it has at each upstream, by PeerUpstreamKey.
  std::map<std::uint64_t, int> running;
  // Differs after a restart of the host's process.
  std::uint64_t process = 0;
  UsageByWorkspace usage;
  std::vector<CrashRecord> crashes;
  // Increases with each report of the process.
  std::uint64_t sequence = 0;
  // Where a host that others may not have listed yet is reached; else empty.
  std::string report_address;
  std::string data_centre;
  // Reports of hosts in other data centres, for those hosts nearby that did not
  // get them; they forward nothing themselves.
  std::vector<HostReport> forwarded;
};

// The form in a datagram: a packed Cap'n Proto message.
std::string EncodeHostReport(const HostReport& report);
Result<HostReport> DecodeHostReport(const std::string& bytes);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_HOST_REPORT_H_
