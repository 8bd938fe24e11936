#ifndef FLAMINGOGAUGE_PLUGINS_REQUESTS_REQUESTS_SETTINGS_H_
#define FLAMINGOGAUGE_PLUGINS_REQUESTS_REQUESTS_SETTINGS_H_

#include <cstdint>

#include "libs/kernel/error.h"

namespace flamingogauge {

struct RequestsSettings {
  // Maximum number of messages queued for the requests thread.
  std::uint32_t ring_capacity = 16384;
  // Maximum number of concurrent requests.
  std::uint32_t max_requests = 8192;
};

RequestsSettings RequestsSettingsFromFlags();

// Returns an error that names the flag, the value and the allowed range.
Result<void> CheckSettings(const RequestsSettings& settings);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_REQUESTS_REQUESTS_SETTINGS_H_
