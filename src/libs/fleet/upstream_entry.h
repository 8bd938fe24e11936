#ifndef FLAMINGOGAUGE_LIBS_FLEET_UPSTREAM_ENTRY_H_
#define FLAMINGOGAUGE_LIBS_FLEET_UPSTREAM_ENTRY_H_

#include <chrono>
#include <cstdint>
#include <string>

namespace flamingogauge {

// An upstream as registered in the platform's store.
struct UpstreamEntry {
  std::string id;
  std::string service;
  // "ip:port".
  std::string address;
  std::string data_centre;
  // The version of the software that it runs; empty if unknown.
  std::string version;
  int slots = 0;
  // True if the upstream is shutting down and accepts no new requests.
  bool draining = false;
  // Remaining warm-up time, during which the upstream is slow.
  std::chrono::milliseconds cold_remaining{0};
  // Start time of the upstream's process in Unix milliseconds; distinguishes
  // processes with the same id.
  std::int64_t started_at_ms = 0;

  bool operator==(const UpstreamEntry&) const = default;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_FLEET_UPSTREAM_ENTRY_H_
