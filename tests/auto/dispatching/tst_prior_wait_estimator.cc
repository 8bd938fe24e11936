#include <doctest/doctest.h>

#include <chrono>

#include "libs/dispatching/prior_wait_estimator.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{1200};
constexpr milliseconds kPatience{2500};

// Guards against returning callers that count as on time although their latency
// target has passed.
TEST_CASE("a caller that comes back has waited before") {
  PriorWaitEstimator tracker;
  CHECK(tracker.EstimatePriorWait("r", kPatience, kTimeout) == milliseconds(0));
  const milliseconds waited =
      tracker.EstimatePriorWait("r", kPatience - milliseconds(700), kTimeout);
  CHECK(waited >= milliseconds(600));
  CHECK(waited <= milliseconds(700));
  CHECK(tracker.EstimatePriorWait("r", kPatience, kTimeout) == milliseconds(0));
  CHECK(tracker.EstimatePriorWait("other", milliseconds(10), kTimeout) ==
        milliseconds(0));
}

// Guards against one caller with an extreme time limit after which all others
// are refused as late.
TEST_CASE("one patient caller does not make the others late for long") {
  PriorWaitEstimator tracker;
  tracker.EstimatePriorWait("r", std::chrono::hours(24 * 365), kTimeout);
  milliseconds waited{0};
  for (int n = 0; n < 200; ++n) {
    waited = tracker.EstimatePriorWait("r", kPatience, kTimeout);
    CHECK(waited <= kTimeout * 4);
  }
  CHECK(waited < milliseconds(50));
}

}  // namespace
}  // namespace flamingogauge
