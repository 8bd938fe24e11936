#include "libs/http_framing/retry_after.h"

#include <algorithm>
#include <cstdint>

#include "libs/http_framing/decimal_field.h"

namespace flamingogauge {

std::optional<std::chrono::milliseconds> ParseRetryAfter(
    std::string_view text) {
  constexpr double kMaxSeconds = 86400;
  const std::optional<double> seconds = ParseDecimalField(text);
  if (!seconds || *seconds == 0) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(std::min(*seconds, kMaxSeconds) * 1000));
}

}  // namespace flamingogauge
