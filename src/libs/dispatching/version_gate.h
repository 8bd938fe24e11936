#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_VERSION_GATE_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_VERSION_GATE_H_

#include <string>
#include <vector>

#include "libs/fleet/upstream_entry.h"
#include "libs/kernel/time.h"

namespace flamingogauge {

// Limits which versions of a service's upstreams get requests, while a roll-out
// decides between them. One gate serves all dispatchers of a process.
class VersionGate {
 public:
  virtual ~VersionGate() = default;

  // True if requests may go to the upstream in the ordinary way.
  virtual bool Admits(const UpstreamEntry& upstream,
                      MonotonicTime now) const = 0;

  // True if a request that another host has assigned to the upstream may be
  // sent: in the ordinary way or to try its version.
  virtual bool AcceptsGrant(const UpstreamEntry& upstream,
                            MonotonicTime now) const = 0;

  // Returns the ids of the upstreams at which the next request of the service
  // and priority should try a new version, the preferred one first; empty if it
  // should not.
  virtual std::vector<std::string> TrialUpstreams(const std::string& service,
                                                  int priority,
                                                  MonotonicTime now) const = 0;

  // Counts a request that was placed on an upstream.
  virtual void OnPlaced(const UpstreamEntry& upstream,
                        int priority,
                        MonotonicTime now) = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_VERSION_GATE_H_
