#ifndef FLAMINGOGAUGE_LIBS_FLEET_ROLLOUT_LIMITS_H_
#define FLAMINGOGAUGE_LIBS_FLEET_ROLLOUT_LIMITS_H_

#include "libs/kernel/error.h"

namespace flamingogauge {

// What a deployment permits a version that turns out bad.
struct RolloutLimits {
  // The share of a service's requests that it may get between the order and its
  // time limit, 0 to 1. At 0 orders are not followed.
  double exposure_share = 0;

  bool is_enabled() const { return exposure_share > 0; }
  // The share of a process's own placements that may be trial requests. Below
  // the permitted share, as some placements are not sent.
  double trial_share() const { return exposure_share * kTrialPart; }

 private:
  static constexpr double kTrialPart = 0.6;
};

// Returns the limits set by the --rollout_* flags.
RolloutLimits RolloutLimitsFromFlags();

Result<void> CheckRolloutLimits(const RolloutLimits& limits);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_FLEET_ROLLOUT_LIMITS_H_
