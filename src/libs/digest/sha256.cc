#include "libs/digest/sha256.h"

#include <openssl/sha.h>

#include <array>

namespace flamingogauge {

std::string Sha256Hex(std::string_view bytes) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
         digest.data());
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(2 * digest.size());
  for (const unsigned char it : digest) {
    text += kDigits[it >> 4U];
    text += kDigits[it & 0xfU];
  }
  return text;
}

}  // namespace flamingogauge
