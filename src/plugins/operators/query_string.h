#ifndef FLAMINGOGAUGE_PLUGINS_OPERATORS_QUERY_STRING_H_
#define FLAMINGOGAUGE_PLUGINS_OPERATORS_QUERY_STRING_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace flamingogauge {

// Returns the percent-decoded value of a parameter of a URL query, or nothing
// when it is absent.
std::optional<std::string> QueryValue(std::string_view query,
                                      std::string_view name);

// Reads a whole decimal number, or nothing.
std::optional<std::uint64_t> ParseNumber(std::string_view text);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_OPERATORS_QUERY_STRING_H_
