#ifndef FLAMINGOGAUGE_LIBS_DOCUMENT_PARSE_TEXT_H_
#define FLAMINGOGAUGE_LIBS_DOCUMENT_PARSE_TEXT_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "libs/document/document_fault.h"
#include "libs/document/document_json.h"

namespace flamingogauge {

// Parses JSON text. Reports a syntax error; unless unknown fields are ignored,
// because the text was accepted before, also values that are nested too deeply
// and names that occur twice in one object, of which the library would keep
// one. Returns a discarded value when the text cannot be used at all.
nlohmann::ordered_json ParseText(std::string_view text,
                                 const std::string& section,
                                 UnknownFields unknown_fields,
                                 DocumentFaults& faults);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DOCUMENT_PARSE_TEXT_H_
