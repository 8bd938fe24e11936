#ifndef FLAMINGOGAUGE_LIBS_MODEL_FINGERPRINT_H_
#define FLAMINGOGAUGE_LIBS_MODEL_FINGERPRINT_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace flamingogauge {

// A 128-bit content hash (XXH3). Not suited against deliberate collisions.
struct Fingerprint {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const Fingerprint&) const = default;
};

// Hashes the target (a model or service name) together with the body, so that
// a resend under another idempotency key or workspace has the same result.
Fingerprint ComputeFingerprint(std::string_view target, std::string_view body);

// Hashes bytes; names immutable chunks of the document.
Fingerprint ComputeContentHash(std::string_view bytes);

// Formats as 32 hexadecimal digits.
std::string ToString(const Fingerprint& fingerprint);

// Formats a 64-bit hash in hexadecimal, without leading zeros.
std::string FormatHash(std::uint64_t hash);

}  // namespace flamingogauge

template <>
struct std::hash<flamingogauge::Fingerprint> {
  std::size_t operator()(
      const flamingogauge::Fingerprint& fingerprint) const noexcept {
    return static_cast<std::size_t>(fingerprint.low);
  }
};

#endif  // FLAMINGOGAUGE_LIBS_MODEL_FINGERPRINT_H_
