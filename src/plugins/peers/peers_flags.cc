#include <gflags/gflags.h>

#include <sstream>

#include "plugins/peers/peers_plugin.h"

// Defaults are those of PeersSettings.
DEFINE_string(host_id, "local", "name of this host, unique in the deployment");
DEFINE_string(data_centre, "local", "data centre of this host");
DEFINE_string(region, "local", "region of the data centre");
DEFINE_string(
    peer_listen,
    "127.0.0.1:0",
    "listen address for other hosts, ip:port; port 0 lets the kernel choose");
DEFINE_string(
    peer_advertise,
    "",
    "address advertised to other hosts, ip:port; empty for --peer_listen");
DEFINE_string(peer_seeds,
              "",
              "peers to contact at startup, comma-separated ip:port");
DEFINE_string(peer_token, "", "secret shared by all hosts");
DEFINE_uint64(host_list_interval_ms,
              30000,
              "time between fetches of the platform's list of hosts");
DEFINE_uint64(peer_queue_capacity,
              16384,
              "maximum number of tasks queued for the peers thread");

namespace flamingogauge {

PeersSettings PeersSettingsFromFlags() {
  PeersSettings settings{.host = FLAGS_host_id,
                         .data_centre = FLAGS_data_centre,
                         .region = FLAGS_region,
                         .listen_address = FLAGS_peer_listen,
                         .advertised_address = FLAGS_peer_advertise,
                         .seeds = {},
                         .token = FLAGS_peer_token,
                         .host_list_interval = std::chrono::milliseconds(
                             FLAGS_host_list_interval_ms),
                         .queue_capacity = FLAGS_peer_queue_capacity};
  std::istringstream list(FLAGS_peer_seeds);
  for (std::string seed; std::getline(list, seed, ',');) {
    if (!seed.empty()) {
      settings.seeds.push_back(seed);
    }
  }
  return settings;
}

}  // namespace flamingogauge
