#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_GATEWAY_SETTINGS_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_GATEWAY_SETTINGS_H_

#include <chrono>
#include <map>
#include <string>

#include "libs/fleet/change_limits.h"
#include "libs/kernel/error.h"
#include "libs/relay/header_names.h"

namespace flamingogauge {

struct GatewaySettings {
  std::string host;
  std::string data_centre;
  // "ip:port" at which callers are served; empty switches the gateway off.
  std::string listen_address;
  // "ip:port" of readiness, metrics and the state dump.
  std::string status_address;
  // "ip:port" of load reports over UDP.
  std::string report_address;
  // The region of each data centre.
  std::map<std::string, std::string> regions;
  RelayHeaderNames headers;
  // The path at which readiness is asked.
  std::string ready_path;

  ChangeLimits changes;
  // Resends for each request of a service, and for all hosts besides, in
  // resend_window.
  double resend_ratio = 0.2;
  double resend_allowance = 50;
  std::chrono::seconds resend_window{10};
  // How long a stop waits for requests in flight, and the shortest time for
  // which it still takes connections.
  std::chrono::milliseconds drain_time_limit{6800};
  std::chrono::milliseconds drain_min_time{3500};
  std::chrono::milliseconds report_interval{200};

  // Takes over what may change while the gateway runs; addresses, names and
  // headers stay.
  void Reload(const GatewaySettings& from);
};

// Reads the flags --gateway_* and those of the host.
GatewaySettings GatewaySettingsFromFlags();

Result<void> CheckGatewaySettings(const GatewaySettings& settings);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_GATEWAY_SETTINGS_H_
