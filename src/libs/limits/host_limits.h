#ifndef FLAMINGOGAUGE_LIBS_LIMITS_HOST_LIMITS_H_
#define FLAMINGOGAUGE_LIBS_LIMITS_HOST_LIMITS_H_

#include <cstddef>

#include "libs/kernel/error.h"

namespace flamingogauge {

// What the process may use of its host.
struct HostLimits {
  std::size_t memory_bytes = 0;
  // Descriptors for sockets; those for files are already taken off.
  std::size_t sockets = 0;

  // The connections of callers that leave a quarter of the sockets to
  // upstreams and to other hosts; at least 8.
  std::size_t MaxCallerConnections() const;
};

// Reads --host_memory_mb and --host_max_descriptors; where they are 0, the
// machine's memory and the process's limit.
HostLimits HostLimitsFromFlags();

// Returns an error that names the flag, the value and the allowed range.
Result<void> CheckHostLimitFlags();

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_LIMITS_HOST_LIMITS_H_
