#ifndef FLAMINGOGAUGE_PLUGINS_PLATFORM_PLATFORM_PLUGIN_H_
#define FLAMINGOGAUGE_PLUGINS_PLATFORM_PLATFORM_PLUGIN_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "libs/kernel/plugin.h"
#include "plugins/platform/platform_settings.h"

namespace flamingogauge {

// Registers the ObjectStore and HostList services. They use the platform's HTTP
// API if an address is set, and are kept in memory otherwise.
class PlatformPlugin : public Plugin {
 public:
  explicit PlatformPlugin(PlatformSettings settings);
  PlatformPlugin(const PlatformPlugin&) = delete;
  PlatformPlugin& operator=(const PlatformPlugin&) = delete;
  ~PlatformPlugin() override;

  std::string_view Name() const override { return "platform"; }
  Result<void> Initialize(ServiceRegistry& registry) override;
  Result<void> ExtensionsInitialized(ServiceRegistry& registry) override;
  void AboutToShutdown(std::function<void()> done) override;
  std::string DumpState() const override;

 private:
  struct Private;
  std::unique_ptr<Private> private_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_PLATFORM_PLATFORM_PLUGIN_H_
