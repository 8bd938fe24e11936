#include "libs/http_framing/decimal_field.h"

#include <charconv>
#include <cmath>

namespace flamingogauge {

std::optional<double> ParseDecimalField(std::string_view text) {
  double number = 0;
  const char* end = text.data() + text.size();
  const std::from_chars_result parsed =
      std::from_chars(text.data(), end, number, std::chars_format::fixed);
  if (parsed.ec != std::errc() || parsed.ptr != end || !std::isfinite(number) ||
      number < 0) {
    return std::nullopt;
  }
  return number;
}

}  // namespace flamingogauge
