#ifndef FLAMINGOGAUGE_LIBS_HTTP_FRAMING_RETRY_AFTER_H_
#define FLAMINGOGAUGE_LIBS_HTTP_FRAMING_RETRY_AFTER_H_

#include <chrono>
#include <optional>
#include <string_view>

namespace flamingogauge {

// Reads a Retry-After field (RFC 9110, section 10.2.3) that is given in
// seconds, of which a fraction is accepted. Returns nothing for dates, for what
// is no number and for times that are not positive. Times above a day are read
// as a day.
std::optional<std::chrono::milliseconds> ParseRetryAfter(std::string_view text);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_HTTP_FRAMING_RETRY_AFTER_H_
