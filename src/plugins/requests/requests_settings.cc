#include "plugins/requests/requests_settings.h"

#include <gflags/gflags.h>

#include "libs/kernel/setting_range.h"

DEFINE_uint32(requests_ring_capacity,
              flamingogauge::RequestsSettings{}.ring_capacity,
              "maximum number of messages queued for the requests thread");
DEFINE_uint32(requests_max,
              flamingogauge::RequestsSettings{}.max_requests,
              "requests that may be in progress at the same time");

namespace flamingogauge {
RequestsSettings RequestsSettingsFromFlags() {
  return {.ring_capacity = FLAGS_requests_ring_capacity,
          .max_requests = FLAGS_requests_max};
}

Result<void> CheckSettings(const RequestsSettings& settings) {
  return CheckSettingRanges({
      RangeOf("requests_ring_capacity", settings.ring_capacity, 64, 1U << 20U),
      RangeOf("requests_max", settings.max_requests, 1, 65536),
  });
}

}  // namespace flamingogauge
