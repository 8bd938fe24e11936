#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_GATEWAY_PLUGIN_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_GATEWAY_PLUGIN_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "libs/kernel/plugin.h"
#include "plugins/gateway/gateway_settings.h"

namespace flamingogauge {

// Relays callers' HTTP requests to upstreams; bodies are passed on unchanged.
class GatewayPlugin : public Plugin {
 public:
  explicit GatewayPlugin(GatewaySettings settings);
  GatewayPlugin(const GatewayPlugin&) = delete;
  GatewayPlugin& operator=(const GatewayPlugin&) = delete;
  ~GatewayPlugin() override;

  std::string_view Name() const override { return "gateway"; }
  Result<void> Initialize(ServiceRegistry& registry) override;
  Result<void> ExtensionsInitialized(ServiceRegistry& registry) override;
  Result<void> Reload() override;
  void AboutToShutdown(std::function<void()> done) override;
  std::string DumpState() const override;

 private:
  struct Private;
  std::shared_ptr<Private> private_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_GATEWAY_PLUGIN_H_
