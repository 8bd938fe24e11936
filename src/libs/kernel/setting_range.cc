#include "libs/kernel/setting_range.h"

#include <array>
#include <cstdio>
#include <string>

namespace flamingogauge {
namespace {

// Writes whole numbers without a fraction.
std::string Format(double value) {
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), "%.15g", value);
  return buf.data();
}

}  // namespace

Result<void> CheckSettingRanges(std::initializer_list<SettingRange> ranges) {
  for (const SettingRange& it : ranges) {
    // Written so that a value that is not a number is refused, too.
    if (!(it.value >= it.lowest && it.value <= it.highest)) {
      return Error{.code = ErrorCode::kInvalidArgument,
                   .step = "check settings",
                   .message = "--" + std::string(it.flag) + " is " +
                              Format(it.value) + ", allowed is " +
                              Format(it.lowest) + " to " + Format(it.highest)};
    }
  }
  return boost::outcome_v2::success();
}

}  // namespace flamingogauge
