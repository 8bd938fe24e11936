#ifndef FLAMINGOGAUGE_PLUGINS_CONFIGURATION_CONFIGURATION_PLUGIN_H_
#define FLAMINGOGAUGE_PLUGINS_CONFIGURATION_CONFIGURATION_PLUGIN_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "libs/kernel/plugin.h"
#include "plugins/configuration/configuration_settings.h"

namespace flamingogauge {

// Provides the DocumentSource and DocumentEditor services. Without the peers
// plugin, the host receives new revisions from the store only.
class ConfigurationPlugin : public Plugin {
 public:
  explicit ConfigurationPlugin(ConfigurationSettings settings);
  ConfigurationPlugin(const ConfigurationPlugin&) = delete;
  ConfigurationPlugin& operator=(const ConfigurationPlugin&) = delete;
  ~ConfigurationPlugin() override;

  std::string_view Name() const override { return "configuration"; }
  Result<void> Initialize(ServiceRegistry& registry) override;
  Result<void> ExtensionsInitialized(ServiceRegistry& registry) override;
  void AboutToShutdown(std::function<void()> done) override;
  std::string DumpState() const override;

 private:
  struct Private;
  std::unique_ptr<Private> private_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_CONFIGURATION_CONFIGURATION_PLUGIN_H_
