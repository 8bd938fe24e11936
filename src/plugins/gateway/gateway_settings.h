#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_GATEWAY_SETTINGS_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_GATEWAY_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <string>

#include "libs/fleet/change_limits.h"
#include "libs/fleet/rollout_limits.h"
#include "libs/kernel/error.h"
#include "libs/relay/header_names.h"

namespace flamingogauge {

struct GatewaySettings {
  std::string host;
  std::string data_centre;
  // "ip:port" for callers; empty disables the gateway.
  std::string listen_address;
  // "ip:port" for readiness, metrics and the state dump.
  std::string status_address;
  // "ip:port" for load reports over UDP.
  std::string report_address;
  // The region of each data centre.
  std::map<std::string, std::string> regions;
  RelayHeaderNames headers;
  // Path of the readiness check.
  std::string ready_path;

  ChangeLimits changes;
  // Resend budget per resend_window: resends per request of a service, plus an
  // allowance that all hosts share.
  double resend_ratio = 0.2;
  double resend_allowance = 50;
  std::chrono::seconds resend_window{10};
  // Time from the signal of a planned shutdown until the process is killed.
  std::chrono::milliseconds stop_limit{8000};
  // The longest time a shutdown waits for requests in flight, and the shortest
  // time for which it keeps accepting connections.
  std::chrono::milliseconds drain_time_limit{6800};
  std::chrono::milliseconds drain_min_time{3500};
  std::chrono::milliseconds report_interval{400};
  // Read at the start only.
  RolloutLimits rollouts;

  // Bounds on what callers may occupy; see docs/design/crowds.md.
  std::size_t max_held_bytes = std::size_t{64} << 20U;
  std::size_t max_connections = 4096;
  // How long a caller may leave a response unread.
  std::chrono::milliseconds unread_limit{15000};

  // Requests at a time for an upstream that has just started; 0 turns the
  // learning of paces off.
  int upstream_start_requests = 0;

  // Applies the settings that may change at run time; addresses, names and
  // headers are kept.
  void Reload(const GatewaySettings& from);
};

// Reads the --gateway_* and --host_* flags.
GatewaySettings GatewaySettingsFromFlags();

Result<void> CheckGatewaySettings(const GatewaySettings& settings);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_GATEWAY_SETTINGS_H_
