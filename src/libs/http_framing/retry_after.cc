#include "libs/http_framing/retry_after.h"

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace flamingogauge {

std::optional<std::chrono::milliseconds> ParseRetryAfter(
    std::string_view text) {
  constexpr double kMaxSeconds = 86400;
  double seconds = 0;
  const char* end = text.data() + text.size();
  const std::from_chars_result parsed =
      std::from_chars(text.data(), end, seconds, std::chars_format::fixed);
  if (parsed.ec != std::errc() || parsed.ptr != end || !(seconds > 0)) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(std::min(seconds, kMaxSeconds) * 1000));
}

}  // namespace flamingogauge
