#include "libs/model/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace flamingogauge {
namespace {

std::uint64_t Weight(std::string_view key, std::string_view host) {
  return XXH3_64bits_withSeed(host.data(), host.size(),
                              XXH3_64bits(key.data(), key.size()));
}

// Equal weights are ordered by name, so that the order is total.
bool Precedes(std::string_view key, const HostId& a, const HostId& b) {
  return std::pair(Weight(key, b), std::string_view(a)) <
         std::pair(Weight(key, a), std::string_view(b));
}

}  // namespace

std::vector<HostId> RendezvousOrder(std::string_view key,
                                    std::vector<HostId> candidates) {
  std::sort(
      candidates.begin(), candidates.end(),
      [key](const HostId& a, const HostId& b) { return Precedes(key, a, b); });
  return candidates;
}

HostId RendezvousFirst(std::string_view key,
                       const std::vector<HostId>& candidates) {
  return *std::min_element(
      candidates.begin(), candidates.end(),
      [key](const HostId& a, const HostId& b) { return Precedes(key, a, b); });
}

}  // namespace flamingogauge
