#include <gflags/gflags.h>

#include "plugins/platform/platform_settings.h"

DEFINE_string(platform_address,
              "",
              "ip:port of the platform's object API; empty keeps objects in "
              "memory (single host)");
DEFINE_uint32(platform_calls_per_second,
              200,
              "maximum calls to the platform per second and host, 1 to 10000");
DEFINE_uint32(platform_connect_time_limit_ms,
              1000,
              "time limit for connecting to the platform, 10 to 60000 ms");
DEFINE_uint32(platform_call_time_limit_ms,
              3000,
              "time limit of a call to the platform, 10 to 60000 ms");

namespace flamingogauge {
namespace {

Error RangeError(const char* flag, long long value, const char* allowed) {
  return Error{.code = ErrorCode::kInvalidArgument,
               .step = "check settings",
               .peer = "",
               .message = std::string("--") + flag + "=" +
                          std::to_string(value) + " is outside " + allowed};
}

bool IsTimeLimit(std::chrono::milliseconds value) {
  return value >= std::chrono::milliseconds(10) &&
         value <= std::chrono::milliseconds(60000);
}

}  // namespace

PlatformSettings PlatformSettingsFromFlags() {
  return {.address = FLAGS_platform_address,
          .calls_per_second = FLAGS_platform_calls_per_second,
          .connect_time_limit =
              std::chrono::milliseconds(FLAGS_platform_connect_time_limit_ms),
          .call_time_limit =
              std::chrono::milliseconds(FLAGS_platform_call_time_limit_ms)};
}

Result<void> CheckPlatformSettings(const PlatformSettings& settings) {
  if (!settings.address.empty() &&
      settings.address.find(':') == std::string::npos) {
    return Error{.code = ErrorCode::kInvalidArgument,
                 .step = "check settings",
                 .peer = "",
                 .message = "--platform_address=" + settings.address +
                            " is not of the form ip:port"};
  }
  if (settings.calls_per_second < 1 || settings.calls_per_second > 10000) {
    return RangeError("platform_calls_per_second", settings.calls_per_second,
                      "1 to 10000");
  }
  if (!IsTimeLimit(settings.connect_time_limit)) {
    return RangeError("platform_connect_time_limit_ms",
                      settings.connect_time_limit.count(), "10 to 60000");
  }
  if (!IsTimeLimit(settings.call_time_limit)) {
    return RangeError("platform_call_time_limit_ms",
                      settings.call_time_limit.count(), "10 to 60000");
  }
  return boost::outcome_v2::success();
}

}  // namespace flamingogauge
