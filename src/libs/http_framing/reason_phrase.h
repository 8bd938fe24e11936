#ifndef FLAMINGOGAUGE_LIBS_HTTP_FRAMING_REASON_PHRASE_H_
#define FLAMINGOGAUGE_LIBS_HTTP_FRAMING_REASON_PHRASE_H_

#include <string_view>

namespace flamingogauge {

// The phrase for a status that this program answers itself; "Status" for
// others.
std::string_view ReasonPhrase(int status);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_HTTP_FRAMING_REASON_PHRASE_H_
