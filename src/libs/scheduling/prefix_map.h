#ifndef FLAMINGOGAUGE_LIBS_SCHEDULING_PREFIX_MAP_H_
#define FLAMINGOGAUGE_LIBS_SCHEDULING_PREFIX_MAP_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

#include "libs/kernel/time.h"

namespace flamingogauge {

// Knows approximately which upstream caches which prompt prefix. Entries come
// from dispatches (assumed) and from the engines' events (late, with gaps), and
// are distrusted after a time without confirmation.
class PrefixMap {
 public:
  // The position of an upstream in the group.
  using Slot = std::uint32_t;

  explicit PrefixMap(std::size_t max_entries = 65536)
      : max_entries_(max_entries) {}

  void Store(MonotonicTime now,
             Slot slot,
             const std::vector<std::uint64_t>& hashes);
  void Evict(MonotonicTime now,
             Slot slot,
             const std::vector<std::uint64_t>& hashes);

  // Returns for each of `slots` upstreams the fraction of the prompt that is
  // expected in its cache, from 0 to 1.
  std::vector<float> CachedFractions(
      MonotonicTime now,
      std::size_t slots,
      const std::vector<std::uint64_t>& hashes) const;

  void Clear();
  std::size_t size() const { return holders_.size(); }

 private:
  struct Holder {
    Slot slot;
    MonotonicTime stored_at;
  };

  // How long an entry of an upstream is trusted.
  Duration TrustedAge(Slot slot) const;

  std::size_t max_entries_;
  // Mean seconds from the last use to the eviction, by upstream; 0 while
  // nothing was evicted.
  std::vector<double> lifetimes_;
  std::unordered_map<std::uint64_t, std::vector<Holder>> holders_;
  // Insertion order of the keys, from which the oldest are dropped.
  std::deque<std::uint64_t> order_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_SCHEDULING_PREFIX_MAP_H_
