#ifndef FLAMINGOGAUGE_LIBS_DIGEST_SHA256_H_
#define FLAMINGOGAUGE_LIBS_DIGEST_SHA256_H_

#include <string>
#include <string_view>

namespace flamingogauge {

// Returns the SHA-256 of the bytes as 64 lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view bytes);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DIGEST_SHA256_H_
