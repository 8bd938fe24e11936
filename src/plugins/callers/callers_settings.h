#ifndef FLAMINGOGAUGE_PLUGINS_CALLERS_CALLERS_SETTINGS_H_
#define FLAMINGOGAUGE_PLUGINS_CALLERS_CALLERS_SETTINGS_H_

#include "libs/http_server/http_server.h"
#include "libs/kernel/error.h"

namespace flamingogauge {

struct CallersSettings {
  HttpServerSettings server;
};

CallersSettings CallersSettingsFromFlags();

// Returns an error that names the flag, the value and the allowed range.
Result<void> CheckSettings(const CallersSettings& settings);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_CALLERS_CALLERS_SETTINGS_H_
