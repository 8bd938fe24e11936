#ifndef FLAMINGOGAUGE_LIBS_REQUESTS_PREFIX_HASHES_H_
#define FLAMINGOGAUGE_LIBS_REQUESTS_PREFIX_HASHES_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace flamingogauge {

// Number of bytes that are counted as one token of a prompt.
inline constexpr std::size_t kBytesPerToken = 4;
// Size of one block of an engine's prefix cache: 64 tokens.
inline constexpr std::size_t kPrefixBlockBytes = 64 * kBytesPerToken;
// Number of blocks that are hashed (32,768 tokens). Later blocks are not
// matched against prefix caches.
inline constexpr std::size_t kMaxPrefixBlocks = 512;

// Estimates the length of a prompt in tokens from its size in bytes.
std::uint32_t EstimateTokens(std::string_view prompt);

// Returns one hash for each complete block, computed over the prompt from its
// start to the end of the block. Each is the lower 64 bits of the content hash,
// which engines use as block identifier in their cache events.
std::vector<std::uint64_t> ComputePrefixHashes(std::string_view prompt);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_REQUESTS_PREFIX_HASHES_H_
