#include "plugins/directory/directory_plugin.h"

#include <utility>

#include "libs/services/event_log_service.h"
#include "plugins/directory/directory_worker.h"

namespace flamingogauge {

struct DirectoryPlugin::Private {
  DirectorySettings settings;
  FleetStore* store = nullptr;
  EventLog* log = nullptr;
  MetricsRegistry* metrics = nullptr;
  std::unique_ptr<DirectoryWorker> worker;
};

DirectoryPlugin::DirectoryPlugin(DirectorySettings settings)
    : private_(std::make_unique<Private>()) {
  private_->settings = std::move(settings);
}

DirectoryPlugin::~DirectoryPlugin() = default;

Result<void> DirectoryPlugin::Initialize(ServiceRegistry& registry) {
  Result<void> checked = CheckDirectorySettings(private_->settings);
  if (!checked) {
    return checked;
  }
  return registry.Register<FleetSource>(kServiceName, this);
}

Result<void> DirectoryPlugin::ExtensionsInitialized(ServiceRegistry& registry) {
  Result<FleetStore*> store =
      registry.Find<FleetStore>(FleetStore::kServiceName);
  if (!store) {
    return store.error();
  }
  Result<EventLog*> log = registry.Find<EventLog>(kEventLogService);
  if (!log) {
    return log.error();
  }
  Result<MetricsRegistry*> metrics =
      registry.Find<MetricsRegistry>(MetricsRegistry::kServiceName);
  if (!metrics) {
    return metrics.error();
  }
  private_->metrics = metrics.value();
  private_->store = store.value();
  private_->log = log.value();
  return boost::outcome_v2::success();
}

Result<void> DirectoryPlugin::Subscribe(Listener listener) {
  private_->worker = std::make_unique<DirectoryWorker>(
      private_->settings, *private_->store, *private_->log, *private_->metrics,
      std::move(listener));
  return private_->worker->Start();
}

void DirectoryPlugin::OnHostSilent(const std::string& host) {
  if (private_->worker) {
    private_->worker->OnHostSilent(host);
  }
}

void DirectoryPlugin::OnHostUnlisted(const std::string& host) {
  if (private_->worker) {
    private_->worker->OnHostUnlisted(host);
  }
}

Result<void> DirectoryPlugin::Reload() {
  const DirectorySettings settings = DirectorySettingsFromFlags();
  Result<void> checked = CheckDirectorySettings(settings);
  if (checked && private_->worker) {
    private_->worker->SetWaits(settings);
  }
  return checked;
}

void DirectoryPlugin::AboutToShutdown(std::function<void()> done) {
  if (private_->worker) {
    private_->worker->BeginShutdown();
  }
  done();
}

std::string DirectoryPlugin::DumpState() const {
  return private_->worker ? private_->worker->DumpState() : "{}";
}

}  // namespace flamingogauge
