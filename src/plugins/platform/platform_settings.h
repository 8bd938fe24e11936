#ifndef FLAMINGOGAUGE_PLUGINS_PLATFORM_PLATFORM_SETTINGS_H_
#define FLAMINGOGAUGE_PLUGINS_PLATFORM_PLATFORM_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "libs/kernel/error.h"

namespace flamingogauge {

struct PlatformSettings {
  // "ip:port" of the platform's object API; empty for a store in memory.
  std::string address;
  // Calls to the platform that this host may make, a second on average; as
  // many may be made at once after a quiet second.
  std::uint32_t calls_per_second = 200;
  std::chrono::milliseconds connect_time_limit{1000};
  // From the start of a call to its whole answer; watches add their own limit.
  std::chrono::milliseconds call_time_limit{3000};
};

// Reads the flags --platform_*.
PlatformSettings PlatformSettingsFromFlags();

// Returns an error that names the flag, its value and the allowed range.
Result<void> CheckPlatformSettings(const PlatformSettings& settings);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_PLATFORM_PLATFORM_SETTINGS_H_
