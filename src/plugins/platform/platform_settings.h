#ifndef FLAMINGOGAUGE_PLUGINS_PLATFORM_PLATFORM_SETTINGS_H_
#define FLAMINGOGAUGE_PLUGINS_PLATFORM_PLATFORM_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "libs/kernel/error.h"

namespace flamingogauge {

struct PlatformSettings {
  // "ip:port" of the platform's object API; empty for an in-memory store.
  std::string address;
  // Average rate limit for this host's calls to the platform. The same number
  // is allowed as a burst after an idle second.
  std::uint32_t calls_per_second = 200;
  std::chrono::milliseconds connect_time_limit{1000};
  // From the start of a call to the end of its response. Watches add their own
  // time limit.
  std::chrono::milliseconds call_time_limit{3000};
};

// Reads the --platform_* flags.
PlatformSettings PlatformSettingsFromFlags();

// Returns an error that names the flag, its value and the allowed range.
Result<void> CheckPlatformSettings(const PlatformSettings& settings);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_PLATFORM_PLATFORM_SETTINGS_H_
