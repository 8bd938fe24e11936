#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "libs/dispatching/resend_budget.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against resends amplifying an overload: nine hosts together must stay
// within the ratio and the allowance in each window.
TEST_CASE("resends of all hosts stay within the fleet's budget") {
  constexpr int kHosts = 9;
  const ResendBudgetOptions options{
      .ratio = 0.2, .shared_allowance = 58, .window = seconds(10)};
  const MonotonicTime start{std::chrono::hours(1)};
  int requests = 0;
  int resends = 0;
  for (int host = 0; host < kHosts; ++host) {
    ResendBudget budget(options);
    budget.SetHostCount(kHosts);
    for (int n = 0; n < 100; ++n) {
      const MonotonicTime now = start + milliseconds(n * 100);
      budget.OnRequest("s", now);
      ++requests;
      resends += budget.TryResend("s", now) ? 1 : 0;
    }
  }
  CHECK(resends <= options.ratio * requests + options.shared_allowance);
  CHECK(resends > 0);
}

// Guards against a budget that is not replenished after its window.
TEST_CASE("the budget returns after its window") {
  ResendBudget budget({.ratio = 0, .shared_allowance = 2});
  const MonotonicTime start{std::chrono::hours(1)};
  CHECK(budget.TryResend("s", start));
  CHECK_FALSE(budget.TryResend("s", start));
  CHECK(budget.TryResend("other", start));
  CHECK(budget.TryResend("s", start + seconds(11)));
}

}  // namespace
}  // namespace flamingogauge
