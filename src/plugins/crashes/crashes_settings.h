#ifndef FLAMINGOGAUGE_PLUGINS_CRASHES_CRASHES_SETTINGS_H_
#define FLAMINGOGAUGE_PLUGINS_CRASHES_CRASHES_SETTINGS_H_

#include <chrono>
#include <cstddef>

#include "libs/kernel/error.h"

namespace flamingogauge {

struct CrashesSettings {
  // How long a quarantine lasts until the first document says otherwise.
  std::chrono::milliseconds quarantine_time{3600000};
  // Between two comparisons with a random other host, which repair what a
  // lost message left different.
  std::chrono::milliseconds exchange_interval{10000};
  std::size_t max_records = 4096;
};

// Returns an error that names the flag, its value and what is allowed.
Result<void> CheckCrashesSettings(const CrashesSettings& settings);

// Reads the settings from gflags.
CrashesSettings CrashesSettingsFromFlags();

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_CRASHES_CRASHES_SETTINGS_H_
