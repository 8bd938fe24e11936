#ifndef FLAMINGOGAUGE_LIBS_FLEET_UPSTREAM_ENTRY_H_
#define FLAMINGOGAUGE_LIBS_FLEET_UPSTREAM_ENTRY_H_

#include <chrono>
#include <cstdint>
#include <string>

namespace flamingogauge {

// What an upstream says of itself in the platform's store.
struct UpstreamEntry {
  std::string id;
  std::string service;
  // "ip:port".
  std::string address;
  std::string data_centre;
  int slots = 0;
  // True once the upstream prepares to leave; it takes no new requests.
  bool draining = false;
  // How much longer the upstream stays slow after its start.
  std::chrono::milliseconds cold_remaining{0};
  // The start of its process in Unix milliseconds; tells two processes with
  // the same id apart.
  std::int64_t started_at_ms = 0;

  bool operator==(const UpstreamEntry&) const = default;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_FLEET_UPSTREAM_ENTRY_H_
