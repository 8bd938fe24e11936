#include "plugins/platform/platform_plugin.h"

#include <utility>

#include "libs/kernel/log.h"
#include "libs/platform/in_memory_host_list.h"
#include "libs/platform/in_memory_object_store.h"
#include "libs/platform/thread_task_runner.h"
#include "plugins/platform/http_object_store.h"

namespace flamingogauge {
namespace {

constexpr std::size_t kMaxWaitingTasks = 4096;

// In-memory object store and host list for a single host without a platform.
struct EmbeddedPlatform {
  ThreadTaskRunner runner{kMaxWaitingTasks};
  InMemoryObjectStore store{runner};
  InMemoryHostList hosts{runner};

  EmbeddedPlatform() = default;
  EmbeddedPlatform(const EmbeddedPlatform&) = delete;
  EmbeddedPlatform& operator=(const EmbeddedPlatform&) = delete;
  // Stops the thread before the members that its tasks use are destroyed.
  ~EmbeddedPlatform() { runner.Stop(); }
};

}  // namespace

struct PlatformPlugin::Private {
  PlatformSettings settings;
  Logger log{"platform"};
  std::unique_ptr<EmbeddedPlatform> embedded;
  std::unique_ptr<HttpObjectStore> remote;
};

PlatformPlugin::PlatformPlugin(PlatformSettings settings)
    : private_(std::make_unique<Private>()) {
  private_->settings = std::move(settings);
}

PlatformPlugin::~PlatformPlugin() = default;

Result<void> PlatformPlugin::Initialize(ServiceRegistry& registry) {
  Result<void> checked = CheckPlatformSettings(private_->settings);
  if (!checked) {
    return checked.error();
  }
  ObjectStore* store = nullptr;
  HostList* hosts = nullptr;
  if (private_->settings.address.empty()) {
    private_->embedded = std::make_unique<EmbeddedPlatform>();
    store = &private_->embedded->store;
    hosts = &private_->embedded->hosts;
    private_->log.Info(
        "no platform address is set; objects are kept in memory "
        "and lost when this process exits");
  } else {
    private_->remote = std::make_unique<HttpObjectStore>(private_->settings);
    store = private_->remote.get();
    hosts = private_->remote.get();
    private_->log.Info("using the platform at " + private_->settings.address);
  }
  Result<void> registered =
      registry.Register<ObjectStore>(ObjectStore::kServiceName, store);
  if (!registered) {
    return registered.error();
  }
  return registry.Register<HostList>(HostList::kServiceName, hosts);
}

Result<void> PlatformPlugin::ExtensionsInitialized(
    ServiceRegistry& /*registry*/) {
  return boost::outcome_v2::success();
}

void PlatformPlugin::AboutToShutdown(std::function<void()> done) {
  // Other plugins still use the store while they drain. Calls in flight are
  // ended by the destructor.
  done();
}

std::string PlatformPlugin::DumpState() const {
  if (private_->remote) {
    const HttpLoop& loop = private_->remote->loop();
    return R"({"kind":"http","calls_sent":)" +
           std::to_string(loop.calls_sent()) + R"(,"calls_failed":)" +
           std::to_string(loop.calls_failed()) + R"(,"calls_over_budget":)" +
           std::to_string(loop.calls_over_budget()) + "}";
  }
  if (private_->embedded) {
    return R"({"kind":"memory","calls":)" +
           std::to_string(private_->embedded->store.CallCount()) + "}";
  }
  return "{}";
}

}  // namespace flamingogauge
