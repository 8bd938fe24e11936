#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "libs/fleet/rollout_limits.h"

namespace flamingogauge {
namespace {

// Guards against roll-outs that are followed without limits, and against a
// value out of range that is taken or whose error does not say what is allowed.
TEST_CASE("limits of roll-outs are off by default and checked") {
  CHECK_FALSE(RolloutLimitsFromFlags().is_enabled());
  CHECK(CheckRolloutLimits(RolloutLimitsFromFlags()));
  CHECK(CheckRolloutLimits({.exposure_share = 0.1}));
  struct Row {
    RolloutLimits limits;
    std::string message;
  };
  const std::vector<Row> rows = {
      {{.exposure_share = 1.5},
       "--rollout_exposure_share is 1.5, allowed is 0 to 1"},
      {{.exposure_share = -0.1},
       "--rollout_exposure_share is -0.1, allowed is 0 to 1"}};
  for (const Row& it : rows) {
    const Result<void> checked = CheckRolloutLimits(it.limits);
    REQUIRE_FALSE(checked);
    CHECK(checked.error().message == it.message);
  }
}

// Guards against a trial that uses up what is permitted.
TEST_CASE("the trial takes a part of what is permitted") {
  CHECK(RolloutLimits{.exposure_share = 0.1}.trial_share() < 0.07);
}

}  // namespace
}  // namespace flamingogauge
