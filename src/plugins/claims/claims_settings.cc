#include "plugins/claims/claims_settings.h"

#include <gflags/gflags.h>

#include "libs/kernel/setting_range.h"

DEFINE_uint64(claims_max_attempts,
              4096,
              "non-idempotent requests in progress on this host, 1 to 65536");
DEFINE_int32(claims_acquire_time_limit_ms,
             2000,
             "how long the store may take to decide a claim, 50 to 60000 ms");
DEFINE_int32(claims_epoch_length_min,
             60,
             "length of a retention epoch, 1 to 1440 minutes");

namespace flamingogauge {

Result<void> CheckClaimsSettings(const ClaimsSettings& settings) {
  return CheckSettingRanges({
      RangeOf("claims_max_attempts", settings.max_attempts, 1, 65536),
      RangeOf("claims_acquire_time_limit_ms", settings.acquire_time_limit, 50,
              60000),
      RangeOf("claims_epoch_length_min", settings.epoch_length, 1, 1440),
  });
}

ClaimsSettings ClaimsSettingsFromFlags() {
  return {
      .max_attempts = FLAGS_claims_max_attempts,
      .acquire_time_limit =
          std::chrono::milliseconds(FLAGS_claims_acquire_time_limit_ms),
      .epoch_length = std::chrono::minutes(FLAGS_claims_epoch_length_min),
  };
}

}  // namespace flamingogauge
