#ifndef FLAMINGOGAUGE_LIBS_HTTP_FRAMING_DECIMAL_FIELD_H_
#define FLAMINGOGAUGE_LIBS_HTTP_FRAMING_DECIMAL_FIELD_H_

#include <optional>
#include <string_view>

namespace flamingogauge {

// Reads the value of a field that holds a decimal number such as "2" or "1.4".
// Returns nothing for what is no number, for negative numbers and for those
// that are not finite.
std::optional<double> ParseDecimalField(std::string_view text);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_HTTP_FRAMING_DECIMAL_FIELD_H_
