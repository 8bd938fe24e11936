#ifndef FLAMINGOGAUGE_LIBS_HTTP_FRAMING_REASON_PHRASE_H_
#define FLAMINGOGAUGE_LIBS_HTTP_FRAMING_REASON_PHRASE_H_

#include <string_view>

namespace flamingogauge {

// Returns the reason phrase of a status that this program generates itself, or
// "Status" for any other.
std::string_view ReasonPhrase(int status);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_HTTP_FRAMING_REASON_PHRASE_H_
