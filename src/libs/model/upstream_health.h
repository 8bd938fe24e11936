#ifndef FLAMINGOGAUGE_LIBS_MODEL_UPSTREAM_HEALTH_H_
#define FLAMINGOGAUGE_LIBS_MODEL_UPSTREAM_HEALTH_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "libs/model/ids.h"

namespace flamingogauge {

// An engine's own statement about its load, which is late when it arrives.
struct LoadReport {
  UpstreamId upstream;
  std::uint32_t running_requests = 0;
  std::uint32_t waiting_requests = 0;
  std::uint64_t tokens_in_memory = 0;
  std::uint64_t token_capacity = 0;
  // How old the figures were when the engine answered.
  std::chrono::milliseconds age{0};
};

// One change of an engine's prefix cache.
struct CacheEvent {
  UpstreamId upstream;
  std::uint64_t sequence = 0;
  std::vector<std::uint64_t> stored;
  std::vector<std::uint64_t> evicted;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_MODEL_UPSTREAM_HEALTH_H_
