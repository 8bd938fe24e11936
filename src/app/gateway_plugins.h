#ifndef FLAMINGOGAUGE_APP_GATEWAY_PLUGINS_H_
#define FLAMINGOGAUGE_APP_GATEWAY_PLUGINS_H_

#include "libs/kernel/plugin_manager.h"

namespace flamingogauge {

// True when the settings ask for a host that runs the gateway on a platform
// that holds the routing document and the list of upstreams.
bool IsGatewayConfigured();

// Checks the settings of such a host; the error names the flag, its value and
// what is allowed.
Result<void> CheckGatewayPlugins();

// Adds the plugins of such a host.
void AddGatewayPlugins(PluginManager& manager);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_APP_GATEWAY_PLUGINS_H_
