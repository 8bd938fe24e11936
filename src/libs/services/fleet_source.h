#ifndef FLAMINGOGAUGE_LIBS_SERVICES_FLEET_SOURCE_H_
#define FLAMINGOGAUGE_LIBS_SERVICES_FLEET_SOURCE_H_

#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include "libs/fleet/host_entry.h"
#include "libs/fleet/rollout_order.h"
#include "libs/fleet/upstream_entry.h"
#include "libs/kernel/error.h"
#include "libs/kernel/time.h"
#include "libs/routing/routing_table.h"

namespace flamingogauge {

// What this host believes of the fleet at one moment.
struct FleetSnapshot {
  // Null until the first routing document has been read.
  std::shared_ptr<const RoutingTable> routing;
  // The boot time before the newest read that found `routing` to be the newest
  // version was sent.
  MonotonicTime routing_confirmed_at;
  std::shared_ptr<const std::vector<UpstreamEntry>> upstreams;
  std::shared_ptr<const std::vector<HostEntry>> hosts;
  // Null as long as this host has not read the orders itself.
  std::shared_ptr<const std::vector<RolloutOrder>> rollouts;
  // True while this host reads the store itself.
  bool reads_store = false;
};

// Publishes what is known of the fleet.
class FleetSource {
 public:
  static constexpr std::string_view kServiceName = "directory.fleet";
  using Listener = std::function<void(const FleetSnapshot&)>;

  virtual ~FleetSource() = default;

  // Calls `listener` on the source's thread with each change or confirmation.
  // Call from ExtensionsInitialized, once. Returns an error if the source
  // cannot start.
  virtual Result<void> Subscribe(Listener listener) = 0;

  // A host that other hosts have not heard for long; its entry may be removed.
  // Safe from any thread.
  virtual void OnHostSilent(const std::string& host) = 0;

  // A host sent a message that is not listed, perhaps because it has just been
  // added; the list may be read again. Safe from any thread.
  virtual void OnHostUnlisted(const std::string& host) = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_SERVICES_FLEET_SOURCE_H_
