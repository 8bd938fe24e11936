#ifndef FLAMINGOGAUGE_PLUGINS_PEERS_PEERS_SETTINGS_H_
#define FLAMINGOGAUGE_PLUGINS_PEERS_PEERS_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "libs/kernel/error.h"
#include "libs/model/ids.h"

namespace flamingogauge {

struct PeersSettings {
  // Name of this host, unique in the deployment.
  HostId host = "local";
  DataCentreId data_centre = "local";
  RegionId region = "local";
  // "ip:port"; port 0 lets the kernel choose one.
  std::string listen_address = "127.0.0.1:0";
  // Where other hosts connect, "ip:port" with port 0 for the port in use; empty
  // means the listen address.
  std::string advertised_address;
  // Peers to contact at startup, "ip:port" each. A host works without any.
  std::vector<std::string> seeds;
  // The secret that every connection presents; may be empty on loopback only.
  std::string token;
  // Interval between fetches of the platform's host list while other members
  // are known, and while none is known. With 370 hosts, the former causes 12
  // platform calls/s.
  std::chrono::milliseconds host_list_interval{30000};
  std::chrono::milliseconds host_list_interval_alone{2000};
  // Maximum number of pending tasks posted to the peers thread.
  std::size_t queue_capacity = 16384;
};

// Returns an error that names the flag, its value and what is allowed.
Result<void> CheckPeersSettings(const PeersSettings& settings);

// An IP address and a port, for example from "127.0.0.1:80" or "[::1]:80".
struct SocketAddress {
  std::string ip;
  std::uint16_t port = 0;
  bool is_ipv6 = false;
};

// Parses "ip:port" without resolving names.
Result<SocketAddress> ParseSocketAddress(const std::string& text);

// Formats as "ip:port", with brackets around an IPv6 address.
std::string ToString(const SocketAddress& address);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_PEERS_PEERS_SETTINGS_H_
