#include <doctest/doctest.h>

#include <chrono>

#include "libs/dispatching/prior_wait_estimator.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{1200};
constexpr milliseconds kWaitLimit{2500};

// Guards against retries that count as on time although the target latency of
// the original attempt has passed.
TEST_CASE("the prior wait of a retry is estimated") {
  PriorWaitEstimator estimator;
  CHECK(estimator.EstimatePriorWait("r", kWaitLimit, kTimeout) ==
        milliseconds(0));
  const milliseconds waited = estimator.EstimatePriorWait(
      "r", kWaitLimit - milliseconds(700), kTimeout);
  CHECK(waited >= milliseconds(600));
  CHECK(waited <= milliseconds(700));
  CHECK(estimator.EstimatePriorWait("r", kWaitLimit, kTimeout) ==
        milliseconds(0));
  CHECK(estimator.EstimatePriorWait("other", milliseconds(10), kTimeout) ==
        milliseconds(0));
}

// Guards against one caller with an extreme wait limit causing the requests of
// all others to be refused as late.
TEST_CASE("one long wait limit does not make other callers late for long") {
  PriorWaitEstimator estimator;
  estimator.EstimatePriorWait("r", std::chrono::hours(24 * 365), kTimeout);
  milliseconds waited{0};
  for (int n = 0; n < 200; ++n) {
    waited = estimator.EstimatePriorWait("r", kWaitLimit, kTimeout);
    CHECK(waited <= kTimeout * 4);
  }
  CHECK(waited < milliseconds(50));
}

}  // namespace
}  // namespace flamingogauge
