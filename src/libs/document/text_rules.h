#ifndef FLAMINGOGAUGE_LIBS_DOCUMENT_TEXT_RULES_H_
#define FLAMINGOGAUGE_LIBS_DOCUMENT_TEXT_RULES_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace flamingogauge {

bool IsName(std::string_view text);
bool IsServiceName(std::string_view text);
// "ip:port" or "[ip6]:port" with a port from 1 to 65535.
bool IsAddress(const std::string& text);
// 64 lower-case hexadecimal digits.
bool IsKeyHash(std::string_view text);
bool IsMethod(std::string_view text);

// Parses a UTC time of the form "2027-01-31T12:00:00Z" into seconds since
// 1970-01-01 UTC.
std::optional<std::chrono::seconds> ParseUtcTime(const std::string& text);
std::string FormatUtcTime(std::chrono::seconds since_epoch);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DOCUMENT_TEXT_RULES_H_
