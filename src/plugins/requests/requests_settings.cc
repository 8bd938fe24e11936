#include "plugins/requests/requests_settings.h"

#include <gflags/gflags.h>

#include <string>

DEFINE_uint32(requests_ring_capacity,
              flamingogauge::RequestsSettings{}.ring_capacity,
              "messages to the requests thread that may wait");
DEFINE_uint32(requests_max,
              flamingogauge::RequestsSettings{}.max_requests,
              "requests that may be in progress at the same time");

namespace flamingogauge {
namespace {

Result<void> CheckRange(const char* flag,
                        std::uint32_t value,
                        std::uint32_t lowest,
                        std::uint32_t highest) {
  if (value >= lowest && value <= highest) {
    return boost::outcome_v2::success();
  }
  return Error{.code = ErrorCode::kInvalidArgument,
               .step = "check settings",
               .message = std::string("--") + flag + " is " +
                          std::to_string(value) + ", allowed is " +
                          std::to_string(lowest) + " to " +
                          std::to_string(highest)};
}

}  // namespace

RequestsSettings RequestsSettingsFromFlags() {
  return {.ring_capacity = FLAGS_requests_ring_capacity,
          .max_requests = FLAGS_requests_max};
}

Result<void> CheckSettings(const RequestsSettings& settings) {
  Result<void> checked = CheckRange("requests_ring_capacity",
                                    settings.ring_capacity, 64, 1U << 20U);
  return checked ? CheckRange("requests_max", settings.max_requests, 1, 65536)
                 : checked;
}

}  // namespace flamingogauge
