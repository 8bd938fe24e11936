#ifndef FLAMINGOGAUGE_PLUGINS_OPERATORS_QUERY_STRING_H_
#define FLAMINGOGAUGE_PLUGINS_OPERATORS_QUERY_STRING_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace flamingogauge {

// Returns the percent-decoded value of a URL query parameter, or nullopt if the
// parameter is absent.
std::optional<std::string> QueryValue(std::string_view query,
                                      std::string_view name);

// Parses an unsigned decimal integer; returns nullopt if `text` is anything
// else.
std::optional<std::uint64_t> ParseNumber(std::string_view text);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_OPERATORS_QUERY_STRING_H_
