#include "libs/requests/prefix_hashes.h"

#include <xxhash.h>

#include <algorithm>

namespace flamingogauge {

std::uint32_t EstimateTokens(std::string_view prompt) {
  return static_cast<std::uint32_t>((prompt.size() + kBytesPerToken - 1) /
                                    kBytesPerToken);
}

std::vector<std::uint64_t> ComputePrefixHashes(std::string_view prompt) {
  const std::size_t blocks =
      std::min(prompt.size() / kPrefixBlockBytes, kMaxPrefixBlocks);
  std::vector<std::uint64_t> hashes;
  hashes.reserve(blocks);
  std::uint64_t hash = 0;
  for (std::size_t it = 0; it < blocks; ++it) {
    hash = XXH3_64bits_withSeed(prompt.data() + it * kPrefixBlockBytes,
                                kPrefixBlockBytes, hash);
    hashes.push_back(hash);
  }
  return hashes;
}

}  // namespace flamingogauge
