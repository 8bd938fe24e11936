#ifndef FLAMINGOGAUGE_PLUGINS_REQUESTS_KEY_HASH_H_
#define FLAMINGOGAUGE_PLUGINS_REQUESTS_KEY_HASH_H_

#include <string>
#include <string_view>

namespace flamingogauge {

// Returns the SHA-256 of a bearer key as 64 lower-case hexadecimal digits, the
// form in which the document holds keys.
std::string HashBearerKey(std::string_view key);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_REQUESTS_KEY_HASH_H_
