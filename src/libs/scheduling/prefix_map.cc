#include "libs/scheduling/prefix_map.h"

#include <algorithm>

namespace flamingogauge {
namespace {

// Older entries are ignored, because an eviction event may have been lost.
constexpr std::chrono::seconds kMaxTrustedAge{300};

// Entries older than this multiple of the upstream's mean time to eviction are
// ignored as well.
constexpr double kTrustedLifetimes = 1.5;
constexpr double kLifetimeSmoothing = 0.05;

}  // namespace

void PrefixMap::Store(MonotonicTime now,
                      Slot slot,
                      const std::vector<std::uint64_t>& hashes) {
  for (const std::uint64_t hash : hashes) {
    auto [entry, created] = holders_.try_emplace(hash);
    if (created) {
      order_.push_back(hash);
    }
    auto& list = entry->second;
    const auto it = std::find_if(
        list.begin(), list.end(),
        [slot](const Holder& holder) { return holder.slot == slot; });
    if (it == list.end()) {
      list.push_back({.slot = slot, .stored_at = now});
    } else {
      it->stored_at = now;
    }
  }
  while (order_.size() > max_entries_) {
    holders_.erase(order_.front());
    order_.pop_front();
  }
}

void PrefixMap::Evict(MonotonicTime now,
                      Slot slot,
                      const std::vector<std::uint64_t>& hashes) {
  for (const std::uint64_t hash : hashes) {
    const auto entry = holders_.find(hash);
    if (entry == holders_.end()) {
      continue;
    }
    auto& list = entry->second;
    const auto it = std::find_if(
        list.begin(), list.end(),
        [slot](const Holder& holder) { return holder.slot == slot; });
    if (it == list.end()) {
      continue;
    }
    lifetimes_.resize(std::max<std::size_t>(lifetimes_.size(), slot + 1));
    const double age =
        std::chrono::duration<double>(now - it->stored_at).count();
    double& mean = lifetimes_[slot];
    mean = mean == 0 ? age : mean + kLifetimeSmoothing * (age - mean);
    list.erase(it);
  }
}

Duration PrefixMap::TrustedAge(Slot slot) const {
  if (slot >= lifetimes_.size() || lifetimes_[slot] == 0) {
    return kMaxTrustedAge;
  }
  return std::min<Duration>(
      kMaxTrustedAge,
      std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(kTrustedLifetimes * lifetimes_[slot])));
}

std::vector<float> PrefixMap::CachedFractions(
    MonotonicTime now,
    std::size_t slots,
    const std::vector<std::uint64_t>& hashes) const {
  std::vector<float> fractions(slots, 0.0F);
  std::vector<std::uint32_t> matched(slots, 0);
  for (std::size_t block = 0; block < hashes.size(); ++block) {
    const auto entry = holders_.find(hashes[block]);
    if (entry == holders_.end()) {
      break;
    }
    for (const Holder& it : entry->second) {
      if (it.slot < slots && matched[it.slot] == block &&
          now - it.stored_at < TrustedAge(it.slot)) {
        ++matched[it.slot];
      }
    }
  }
  for (std::size_t slot = 0; slot < slots && !hashes.empty(); ++slot) {
    fractions[slot] =
        static_cast<float>(matched[slot]) / static_cast<float>(hashes.size());
  }
  return fractions;
}

void PrefixMap::Clear() {
  holders_.clear();
  order_.clear();
}

}  // namespace flamingogauge
