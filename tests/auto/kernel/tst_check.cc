#include <doctest/doctest.h>

#include <string>

#include "libs/kernel/check.h"

namespace flamingogauge {
namespace {

// Guards against checks that are compiled out or report without the ids.
TEST_CASE("CHECK_INVARIANT reports a violation with its detail") {
  int reports = 0;
  std::string detail;
  const InvariantViolationHandler previous =
      SetInvariantViolationHandler([&](const InvariantViolation& violation) {
        ++reports;
        detail = std::string(violation.invariant) + " " + violation.detail;
      });
  CHECK_INVARIANT("I1", 1 + 1 == 2, std::string("not evaluated"));
  CHECK(reports == 0);
  CHECK_INVARIANT("I1", 1 + 1 == 3, std::string("dispatch request 42"));
  SetInvariantViolationHandler(previous);
  CHECK(reports == 1);
  CHECK(detail == "I1 dispatch request 42");
}

}  // namespace
}  // namespace flamingogauge
