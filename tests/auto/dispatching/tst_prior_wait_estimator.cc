#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "libs/dispatching/prior_wait_estimator.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{1200};
constexpr milliseconds kWaitLimit{2500};

// The estimate for a request, which later ones are compared with.
milliseconds Observe(PriorWaitEstimator& estimator,
                     const std::string& route,
                     milliseconds wait_limit) {
  const milliseconds waited =
      estimator.EstimatePriorWait(route, wait_limit, kTimeout);
  estimator.Record(route, wait_limit, kTimeout);
  return waited;
}

// Guards against retries that count as on time although the target latency of
// the original attempt has passed.
TEST_CASE("the prior wait of a retry is estimated") {
  PriorWaitEstimator estimator;
  CHECK(Observe(estimator, "r", kWaitLimit) == milliseconds(0));
  const milliseconds waited =
      Observe(estimator, "r", kWaitLimit - milliseconds(700));
  CHECK(waited >= milliseconds(600));
  CHECK(waited <= milliseconds(700));
  CHECK(Observe(estimator, "r", kWaitLimit) == milliseconds(0));
  CHECK(Observe(estimator, "other", milliseconds(10)) == milliseconds(0));
}

// Guards against a question about a request that changes the estimate for the
// requests after it.
TEST_CASE("an estimate alone changes no later one") {
  PriorWaitEstimator estimator;
  CHECK(Observe(estimator, "r", kWaitLimit) == milliseconds(0));
  CHECK(estimator.EstimatePriorWait("r", kWaitLimit * 2, kTimeout) ==
        milliseconds(0));
  CHECK(Observe(estimator, "r", kWaitLimit) == milliseconds(0));
}

// Guards against one caller with an extreme wait limit causing the requests of
// all others to be refused as late.
TEST_CASE("one long wait limit does not make other callers late for long") {
  PriorWaitEstimator estimator;
  Observe(estimator, "r", std::chrono::hours(24 * 365));
  milliseconds waited{0};
  for (int n = 0; n < 200; ++n) {
    waited = Observe(estimator, "r", kWaitLimit);
    CHECK(waited <= kTimeout * 4);
  }
  CHECK(waited < milliseconds(50));
}

}  // namespace
}  // namespace flamingogauge
