#include "libs/fleet/rollout_limits.h"

#include <gflags/gflags.h>

#include "libs/kernel/setting_range.h"

DEFINE_double(rollout_exposure_share,
              0,
              "share of a service's requests that a bad version may get during "
              "a roll-out, 0 to 1; 0: orders to roll out a version are not "
              "followed and upstreams of all versions get requests");
DEFINE_double(rollout_exposure_requests,
              50,
              "requests that a bad version may get beyond that share");
DEFINE_uint32(rollout_rollback_limit_ms,
              5000,
              "maximum time from the 50th bad answer of a version until it "
              "gets no more requests, in ms");

namespace flamingogauge {

RolloutLimits RolloutLimitsFromFlags() {
  return {
      .exposure_share = FLAGS_rollout_exposure_share,
      .exposure_requests = FLAGS_rollout_exposure_requests,
      .rollback = std::chrono::milliseconds(FLAGS_rollout_rollback_limit_ms)};
}

Result<void> CheckRolloutLimits(const RolloutLimits& limits) {
  return CheckSettingRanges(
      {RangeOf("rollout_exposure_share", limits.exposure_share, 0, 1),
       RangeOf("rollout_exposure_requests", limits.exposure_requests, 0,
               1000000),
       // Hosts learn of a verdict within two seconds.
       RangeOf("rollout_rollback_limit_ms", limits.rollback, 2000, 600000)});
}

}  // namespace flamingogauge
