#ifndef FLAMINGOGAUGE_LIBS_DIRECTORY_DEPARTED_UPSTREAMS_H_
#define FLAMINGOGAUGE_LIBS_DIRECTORY_DEPARTED_UPSTREAMS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "libs/fleet/store_revision.h"
#include "libs/fleet/upstream_entry.h"
#include "libs/kernel/time.h"

namespace flamingogauge {

// Remembers the upstreams that have left, so that an older copy of the store,
// which still lists them as ready, does not bring them back. In the era in
// which an upstream left, a new entry of it is believed: its entry had lapsed
// and was written again.
class DepartedUpstreams {
 public:
  using Entries = std::map<std::string, std::shared_ptr<const UpstreamEntry>>;

  // An entry changed from `before` to `after`, of which one may be null, in the
  // state of the store at `revision`.
  void OnChange(const std::string& id,
                const UpstreamEntry* before,
                const UpstreamEntry* after,
                const StoreRevision& revision,
                MonotonicTime now);

  // Returns those of the entries that are listed as ready in a later era than
  // the one in which they left, marked as draining. `entries` is a state of the
  // store at `revision`, or a part of it.
  Entries Withhold(const Entries& entries,
                   const StoreRevision& revision,
                   MonotonicTime now);

  // Returns the withheld entries that are believed by now, as they are listed:
  // those of upstreams that had been removed, after the time in which the entry
  // of one that does not run lapses.
  Entries TakeBelieved(MonotonicTime now);

 private:
  struct Departure {
    std::int64_t started_at_ms = 0;
    std::uint64_t era = 0;
    // False if its entry said that it drains.
    bool was_removed = false;
    MonotonicTime at;
  };

  // Returns whether an entry that has left is still not believed.
  bool IsInDoubt(const Departure& departure, MonotonicTime now) const;
  void ForgetOld(MonotonicTime now);

  std::map<std::string, Departure> departures_;
  // As listed.
  Entries withheld_;
  // The newest era, and when it was first seen.
  std::uint64_t era_ = 0;
  MonotonicTime era_seen_at_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DIRECTORY_DEPARTED_UPSTREAMS_H_
