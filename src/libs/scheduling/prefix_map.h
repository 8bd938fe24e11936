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

// Tracks approximately which upstream caches which prompt prefix. Entries are
// added when a request is dispatched and when an engine reports a cache event.
// Since events may be late or missing, entries that are not confirmed for some
// time are ignored.
class PrefixMap {
 public:
  // Index of an upstream in the group.
  using Slot = std::uint32_t;

  explicit PrefixMap(std::size_t max_entries = 65536)
      : max_entries_(max_entries) {}

  void Store(MonotonicTime now,
             Slot slot,
             const std::vector<std::uint64_t>& hashes);
  void Evict(MonotonicTime now,
             Slot slot,
             const std::vector<std::uint64_t>& hashes);

  // Returns for each of `slots` upstreams the fraction of the prompt, from 0 to
  // 1, that its cache is expected to hold.
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

  // Returns the age from which an entry of an upstream is ignored.
  Duration TrustedAge(Slot slot) const;

  std::size_t max_entries_;
  // Mean seconds from the last use to the eviction, by upstream; 0 without
  // samples.
  std::vector<double> lifetimes_;
  std::unordered_map<std::uint64_t, std::vector<Holder>> holders_;
  // Keys in insertion order; the oldest are removed beyond max_entries_.
  std::deque<std::uint64_t> order_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_SCHEDULING_PREFIX_MAP_H_
