#include "libs/requests/prefix_hashes.h"

#include <xxhash.h>

#include <algorithm>
#include <memory>

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
  // The hash is extended incrementally, so that each byte is read once.
  const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(
      XXH3_createState(), &XXH3_freeState);
  XXH3_128bits_reset(state.get());
  for (std::size_t it = 0; it < blocks; ++it) {
    XXH3_128bits_update(state.get(), prompt.data() + it * kPrefixBlockBytes,
                        kPrefixBlockBytes);
    hashes.push_back(XXH3_128bits_digest(state.get()).low64);
  }
  return hashes;
}

}  // namespace flamingogauge
