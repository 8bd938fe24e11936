#ifndef FLAMINGOGAUGE_PLUGINS_SCHEDULER_SCHEDULER_PLUGIN_H_
#define FLAMINGOGAUGE_PLUGINS_SCHEDULER_SCHEDULER_PLUGIN_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "libs/kernel/plugin.h"
#include "libs/services/permit_broker.h"
#include "plugins/scheduler/scheduler_settings.h"

namespace flamingogauge {

// Grants permits for the groups that this host schedules and obtains permits
// from the schedulers on other hosts. Requires DocumentSource; MembershipView,
// PeerTransport, QuarantineService and UpstreamClient are optional.
class SchedulerPlugin : public Plugin, public PermitBroker {
 public:
  explicit SchedulerPlugin(SchedulerSettings settings);
  SchedulerPlugin(const SchedulerPlugin&) = delete;
  SchedulerPlugin& operator=(const SchedulerPlugin&) = delete;
  ~SchedulerPlugin() override;

  std::string_view Name() const override { return "scheduler"; }
  Result<void> Initialize(ServiceRegistry& registry) override;
  Result<void> ExtensionsInitialized(ServiceRegistry& registry) override;

  // Calls `done` when this host has no pending requests and holds no permits.
  void AboutToShutdown(std::function<void()> done) override;
  std::string DumpState() const override;

  // A full ring is answered at once with kUnavailable, on the calling thread.
  void SetListener(Listener listener) override;
  void Request(PermitRequest request) override;
  void Cancel(RequestId id) override;
  void Report(PermitOutcome outcome) override;

 private:
  struct Private;
  std::unique_ptr<Private> d_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_SCHEDULER_SCHEDULER_PLUGIN_H_
