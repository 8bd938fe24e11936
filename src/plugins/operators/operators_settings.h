#ifndef FLAMINGOGAUGE_PLUGINS_OPERATORS_OPERATORS_SETTINGS_H_
#define FLAMINGOGAUGE_PLUGINS_OPERATORS_OPERATORS_SETTINGS_H_

#include <string>

#include "libs/kernel/error.h"

namespace flamingogauge {

struct OperatorsSettings {
  // "ip:port"; with port 0 the kernel chooses the port.
  std::string address = "127.0.0.1:8090";
  // The bearer token of operators, at least 8 bytes.
  std::string token;
};

OperatorsSettings OperatorsSettingsFromFlags();

// Returns an error that names the flag, the value and the allowed range. The
// token itself is never included.
Result<void> CheckSettings(const OperatorsSettings& settings);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_OPERATORS_OPERATORS_SETTINGS_H_
