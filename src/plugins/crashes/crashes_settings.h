#ifndef FLAMINGOGAUGE_PLUGINS_CRASHES_CRASHES_SETTINGS_H_
#define FLAMINGOGAUGE_PLUGINS_CRASHES_CRASHES_SETTINGS_H_

#include <chrono>
#include <cstddef>

#include "libs/kernel/error.h"

namespace flamingogauge {

struct CrashesSettings {
  // Duration of a quarantine, until the first document replaces it.
  std::chrono::milliseconds quarantine_time{3600000};
  // Interval of the comparisons with a random other host, which repair
  // differences that lost messages have caused.
  std::chrono::milliseconds exchange_interval{10000};
  std::size_t max_records = 4096;
};

// Returns an error that names the flag, its value and what is allowed.
Result<void> CheckCrashesSettings(const CrashesSettings& settings);

// Reads the settings from gflags.
CrashesSettings CrashesSettingsFromFlags();

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_CRASHES_CRASHES_SETTINGS_H_
