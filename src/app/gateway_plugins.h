#ifndef FLAMINGOGAUGE_APP_GATEWAY_PLUGINS_H_
#define FLAMINGOGAUGE_APP_GATEWAY_PLUGINS_H_

#include "libs/kernel/plugin_manager.h"

namespace flamingogauge {

// Returns true when the flags configure a gateway host, which reads the routing
// document and the list of upstreams from the platform's object store.
bool IsGatewayConfigured();

// Validates the settings of a gateway host. The error contains the flag, its
// value and the allowed values.
Result<void> CheckGatewayPlugins();

// Adds the plugins of a gateway host.
void AddGatewayPlugins(PluginManager& manager);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_APP_GATEWAY_PLUGINS_H_
