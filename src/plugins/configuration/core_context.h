#ifndef FLAMINGOGAUGE_PLUGINS_CONFIGURATION_CORE_CONTEXT_H_
#define FLAMINGOGAUGE_PLUGINS_CONFIGURATION_CORE_CONTEXT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "libs/document/revision_rules.h"
#include "libs/kernel/log.h"
#include "libs/kernel/random.h"
#include "libs/kernel/time.h"
#include "libs/platform/task_runner.h"
#include "libs/services/membership_view.h"
#include "libs/services/object_store.h"
#include "libs/services/peer_transport.h"
#include "plugins/configuration/configuration_settings.h"
#include "plugins/configuration/revision_in_force.h"

namespace flamingogauge {

// State that the components of the configuration core share. To be used on the
// runner only.
struct CoreContext {
  std::shared_ptr<TaskRunner> runner;
  ObjectStore& store;
  // Null on a host without peers.
  PeerTransport* transport = nullptr;
  MembershipView* membership = nullptr;
  ConfigurationSettings settings;
  Random random{0};
  // Seconds since 1970-01-01 UTC, for the history that operators read.
  std::function<std::chrono::seconds()> wall_clock;
  RevisionInForce in_force;
  Logger log{"config"};
  // Callbacks hold a weak pointer and do nothing after the core is destroyed.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

// Wraps a callback so that it runs on the runner, and is dropped after the
// core is destroyed. The number of calls in flight is bounded well below the
// runner's capacity, so a full queue means that the runner has stopped.
template <typename Value>
std::function<void(Result<Value>)> OnRunner(
    CoreContext& context,
    std::function<void(Result<Value>)> callback) {
  return [runner = context.runner, alive = std::weak_ptr<bool>(context.alive),
          callback = std::move(callback)](Result<Value> result) {
    const bool posted =
        runner->Post([alive, callback, result = std::move(result)] {
          if (!alive.expired()) {
            callback(result);
          }
        });
    static_cast<void>(posted);
  };
}

// Runs a task after `delay`, unless the core has been destroyed by then.
void RunAfter(CoreContext& context, Duration delay, std::function<void()> task);

// Returns half of `delay` plus a random part of the other half, so that hosts
// do not retry at the same time.
Duration WithJitter(CoreContext& context, Duration delay);

// Exponential backoff with jitter: the delay doubles with each failure, up to a
// maximum.
class Backoff {
 public:
  Backoff(Duration first, Duration max_delay)
      : first_(first), max_delay_(max_delay), next_(first) {}

  Duration Next(CoreContext& context);
  void Reset() { next_ = first_; }

 private:
  const Duration first_;
  const Duration max_delay_;
  Duration next_;
};

// The hosts of this data centre that are alive, in rendezvous order for the
// watch of the manifest; empty without membership.
std::vector<HostId> WatchOrder(const CoreContext& context);

// True when this host is one of those that watch the manifest for its data
// centre.
bool IsWatcher(const CoreContext& context);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_CONFIGURATION_CORE_CONTEXT_H_
