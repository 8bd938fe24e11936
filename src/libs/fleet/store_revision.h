#ifndef FLAMINGOGAUGE_LIBS_FLEET_STORE_REVISION_H_
#define FLAMINGOGAUGE_LIBS_FLEET_STORE_REVISION_H_

#include <cstdint>
#include <tuple>

namespace flamingogauge {

// A position in the history of the platform's store. The store may come back
// from a copy that is some seconds old; it then gives out the same numbers
// again for other changes, in a new era. Numbers of two eras say nothing about
// each other.
struct StoreRevision {
  // Rises by one each time the store comes back from an older copy; 0 if the
  // store does not state it.
  std::uint64_t era = 0;
  // Increases with each change within an era; 0 before the first read.
  std::uint64_t number = 0;

  bool operator==(const StoreRevision&) const = default;
  bool operator<(const StoreRevision& other) const {
    return std::tie(era, number) < std::tie(other.era, other.number);
  }

  bool is_known() const { return number != 0; }
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_FLEET_STORE_REVISION_H_
