#ifndef FLAMINGOGAUGE_PLUGINS_CLAIMS_CLAIMS_SETTINGS_H_
#define FLAMINGOGAUGE_PLUGINS_CLAIMS_CLAIMS_SETTINGS_H_

#include <chrono>
#include <cstddef>

#include "libs/kernel/error.h"

namespace flamingogauge {

struct ClaimsSettings {
  // Maximum number of claim attempts in progress on this host.
  std::size_t max_attempts = 4096;
  std::chrono::milliseconds acquire_time_limit{2000};
  std::chrono::minutes epoch_length{60};
};

// Returns kInvalidArgument with the flag, the value and the allowed range.
Result<void> CheckClaimsSettings(const ClaimsSettings& settings);

ClaimsSettings ClaimsSettingsFromFlags();

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_CLAIMS_CLAIMS_SETTINGS_H_
