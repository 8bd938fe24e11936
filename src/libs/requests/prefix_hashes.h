#ifndef FLAMINGOGAUGE_LIBS_REQUESTS_PREFIX_HASHES_H_
#define FLAMINGOGAUGE_LIBS_REQUESTS_PREFIX_HASHES_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace flamingogauge {

// The bytes that are counted as one token of a prompt.
inline constexpr std::size_t kBytesPerToken = 4;
// One block of an engine's prefix cache: 64 tokens.
inline constexpr std::size_t kPrefixBlockBytes = 64 * kBytesPerToken;
// The blocks that are hashed: 32,768 tokens. Later blocks are not matched.
inline constexpr std::size_t kMaxPrefixBlocks = 512;

// Returns the prompt's length in tokens, estimated from its bytes.
std::uint32_t EstimateTokens(std::string_view prompt);

// Returns one hash for each whole block; each covers the prompt from its start
// to the end of the block. It is the lower half of the content hash of those
// bytes, as engines name blocks in their cache events.
std::vector<std::uint64_t> ComputePrefixHashes(std::string_view prompt);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_REQUESTS_PREFIX_HASHES_H_
