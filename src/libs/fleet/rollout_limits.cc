#include "libs/fleet/rollout_limits.h"

#include <gflags/gflags.h>

#include "libs/kernel/setting_range.h"

DEFINE_double(rollout_exposure_share,
              0,
              "share of a service's requests that a bad version may get during "
              "a roll-out, 0 to 1; 0: orders to roll out a version are not "
              "followed and upstreams of all versions get requests");

namespace flamingogauge {

RolloutLimits RolloutLimitsFromFlags() {
  return {.exposure_share = FLAGS_rollout_exposure_share};
}

Result<void> CheckRolloutLimits(const RolloutLimits& limits) {
  return CheckSettingRanges(
      {RangeOf("rollout_exposure_share", limits.exposure_share, 0, 1)});
}

}  // namespace flamingogauge
