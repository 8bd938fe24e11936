#include "plugins/requests/key_hash.h"

#include <openssl/sha.h>

#include <array>

namespace flamingogauge {

std::string HashBearerKey(std::string_view key) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(),
         digest.data());
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(2 * digest.size());
  for (const unsigned char it : digest) {
    text += kDigits[it >> 4U];
    text += kDigits[it & 15U];
  }
  return text;
}

}  // namespace flamingogauge
