#include "app/gateway_plugins.h"

#include <memory>
#include <utility>

#include "platform/platform_fleet_plugin.h"
#include "platform/platform_names.h"
#include "plugins/directory/directory_plugin.h"
#include "plugins/gateway/gateway_plugin.h"
#include "plugins/telemetry/telemetry_plugin.h"

namespace flamingogauge {

bool IsGatewayConfigured() {
  return !GatewaySettingsFromFlags().listen_address.empty();
}

Result<void> CheckGatewayPlugins() {
  Result<void> checked =
      CheckPlatformFleetStoreOptions(PlatformFleetStoreOptionsFromFlags());
  if (checked) {
    checked = CheckDirectorySettings(DirectorySettingsFromFlags());
  }
  if (checked) {
    checked = CheckGatewaySettings(GatewaySettingsFromFlags());
  }
  return checked;
}

void AddGatewayPlugins(PluginManager& manager) {
  GatewaySettings gateway = GatewaySettingsFromFlags();
  gateway.headers = PlatformHeaderNames();
  gateway.ready_path = kPlatformReadyPath;
  manager.Add(std::make_unique<TelemetryPlugin>(EventLogOptionsFromFlags()));
  manager.Add(std::make_unique<PlatformFleetPlugin>(
      PlatformFleetStoreOptionsFromFlags()));
  manager.Add(std::make_unique<DirectoryPlugin>(DirectorySettingsFromFlags()));
  manager.Add(std::make_unique<GatewayPlugin>(std::move(gateway)));
}

}  // namespace flamingogauge
