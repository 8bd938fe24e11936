#ifndef FLAMINGOGAUGE_LIBS_DOCUMENT_PARSE_TEXT_H_
#define FLAMINGOGAUGE_LIBS_DOCUMENT_PARSE_TEXT_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "libs/document/document_fault.h"
#include "libs/document/document_json.h"

namespace flamingogauge {

// Parses JSON text and reports syntax errors. If unknown fields are refused,
// also reports values that are nested too deeply and duplicate names in an
// object, of which the library would keep only one. With UnknownFields::kIgnore
// the text has been accepted before, so these checks are omitted. Returns a
// discarded value if the text cannot be used.
nlohmann::ordered_json ParseText(std::string_view text,
                                 const std::string& section,
                                 UnknownFields unknown_fields,
                                 DocumentFaults& faults);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DOCUMENT_PARSE_TEXT_H_
