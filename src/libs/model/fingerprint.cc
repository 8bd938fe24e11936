#include "libs/model/fingerprint.h"

#include <xxhash.h>

#include <array>
#include <charconv>

#include "libs/model/ids.h"

namespace flamingogauge {
namespace {

Fingerprint FromHash(XXH128_hash_t hash) {
  return {.high = hash.high64, .low = hash.low64};
}

}  // namespace

Fingerprint ComputeFingerprint(std::string_view target, std::string_view body) {
  // The target's hash seeds the body's hash, so that moving bytes between the
  // two changes the result.
  const XXH64_hash_t seed = XXH3_64bits(target.data(), target.size());
  return FromHash(XXH3_128bits_withSeed(body.data(), body.size(), seed));
}

Fingerprint ComputeContentHash(std::string_view bytes) {
  return FromHash(XXH3_128bits(bytes.data(), bytes.size()));
}

std::string ToString(const Fingerprint& fingerprint) {
  return ToString(
      Incarnation{.high = fingerprint.high, .low = fingerprint.low});
}

std::string FormatHash(std::uint64_t hash) {
  std::array<char, 16> buf{};
  const std::to_chars_result written =
      std::to_chars(buf.data(), buf.data() + buf.size(), hash, 16);
  return {buf.data(), written.ptr};
}

}  // namespace flamingogauge
