#include <doctest/doctest.h>

#include <cmath>

#include "libs/kernel/setting_range.h"

namespace flamingogauge {
namespace {

// Guards against a bad setting that is accepted, and against an error that
// does not say what is allowed.
TEST_CASE("CheckSettingRanges names the flag, the value and the range") {
  struct Row {
    double value;
    bool accepted;
  };
  for (const Row& row : {Row{1, true}, Row{60000, true}, Row{0, false},
                         Row{60001, false}, Row{std::nan(""), false}}) {
    CAPTURE(row.value);
    const Result<void> checked = CheckSettingRanges(
        {{"first", 5, 1, 10}, {"time_ms", row.value, 1, 60000}});
    CHECK(checked.has_value() == row.accepted);
  }
  const Result<void> checked =
      CheckSettingRanges({{"time_ms", 60001, 1, 60000}});
  REQUIRE_FALSE(checked.has_value());
  CHECK(checked.error().message == "--time_ms is 60001, allowed is 1 to 60000");
}

}  // namespace
}  // namespace flamingogauge
