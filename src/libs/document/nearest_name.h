#ifndef FLAMINGOGAUGE_LIBS_DOCUMENT_NEAREST_NAME_H_
#define FLAMINGOGAUGE_LIBS_DOCUMENT_NEAREST_NAME_H_

#include <string>
#include <string_view>
#include <vector>

namespace flamingogauge {

// Returns the element of `names` with the smallest edit distance to `name`, or
// an empty string if none is close enough to be a plausible correction.
std::string NearestName(std::string_view name,
                        const std::vector<std::string>& names);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DOCUMENT_NEAREST_NAME_H_
