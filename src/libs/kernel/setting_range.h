#ifndef FLAMINGOGAUGE_LIBS_KERNEL_SETTING_RANGE_H_
#define FLAMINGOGAUGE_LIBS_KERNEL_SETTING_RANGE_H_

#include <initializer_list>

#include "libs/kernel/error.h"

namespace flamingogauge {

// The value of a setting and the range in which it must be. Both ends are
// allowed.
struct SettingRange {
  const char* flag;
  double value;
  double lowest;
  double highest;
};

// Describes the range of a number, or of a time in the unit of its type.
template <typename T>
SettingRange RangeOf(const char* flag, T value, double lowest, double highest) {
  if constexpr (requires { value.count(); }) {
    return {flag, static_cast<double>(value.count()), lowest, highest};
  } else {
    return {flag, static_cast<double>(value), lowest, highest};
  }
}

// Returns kInvalidArgument for the first setting outside its range; the
// message names the flag, the value and the range.
Result<void> CheckSettingRanges(std::initializer_list<SettingRange> ranges);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_KERNEL_SETTING_RANGE_H_
