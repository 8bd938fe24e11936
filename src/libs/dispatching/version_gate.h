#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_VERSION_GATE_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_VERSION_GATE_H_

#include <string>

#include "libs/kernel/time.h"

namespace flamingogauge {

// Limits which versions of a service's upstreams get requests, while a roll-out
// decides between them. One gate serves all dispatchers of a process.
class VersionGate {
 public:
  virtual ~VersionGate() = default;

  // True if one more request of the service may go to upstreams of `version`.
  virtual bool Admits(const std::string& service,
                      const std::string& version,
                      MonotonicTime now) const = 0;

  // Counts a request that was placed on an upstream of `version`.
  virtual void OnPlaced(const std::string& service,
                        const std::string& version,
                        MonotonicTime now) = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_VERSION_GATE_H_
