#ifndef FLAMINGOGAUGE_LIBS_MEMBERSHIP_MEMBER_TABLE_H_
#define FLAMINGOGAUGE_LIBS_MEMBERSHIP_MEMBER_TABLE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "libs/kernel/time.h"
#include "libs/membership/heartbeat.h"

namespace flamingogauge {

// True when `b` overrides `a`: a later incarnation, a later life, or the same
// life in a state nearer to death.
bool Overrides(const MemberEntry& b, const MemberEntry& a);

// What this host knows of each member, and the log of changes. Merging is
// idempotent and does not depend on the order of arrival.
class MemberTable {
 public:
  struct Record {
    MemberEntry entry;
    // The number of its last change in the log.
    std::uint64_t sequence = 0;
    // The process that told it; none for a change of this host's own. A later
    // process of the same host has to be told again.
    Incarnation learned_from;
    // Since when it is not plainly alive or leaving.
    MonotonicTime doubted_since;
    // When the current state was learned.
    MonotonicTime changed_at;
  };
  using Records = std::map<HostId, Record>;

  // Takes over an entry that overrides the known one; false when it does not.
  bool Merge(const MemberEntry& entry,
             const Incarnation& from,
             MonotonicTime now);

  // Changes only the state, in the current life.
  void SetState(const HostId& host, MemberState state, MonotonicTime now);

  const Record* Find(const HostId& host) const;
  const Records& records() const { return records_; }

  // Appends entries changed after `base`, the oldest first, without those that
  // came from `receiver`, and returns the number up to which they reach.
  // A receiver that has nothing yet is not told of deaths before `dead_after`.
  std::uint64_t CollectChanges(std::uint64_t base,
                               const Incarnation& receiver,
                               std::size_t limit,
                               MonotonicTime dead_after,
                               std::vector<MemberEntry>* changes) const;

  // Forgets the dead of before `dead_before`, and the oldest dead while there
  // are more than `max_entries`.
  void Forget(MonotonicTime dead_before, std::size_t max_entries);

  // Moves the start of all doubts, after a pause of this process.
  void ShiftDoubts(Duration gap);

  std::uint64_t head() const { return head_; }
  // A hash of the entries that are not dead; independent of the order.
  std::uint64_t digest() const { return digest_; }

 private:
  void Erase(Records::iterator it);
  void Log(Record* record, const Incarnation& from);

  Records records_;
  std::map<std::uint64_t, HostId> log_;
  std::uint64_t head_ = 0;
  std::uint64_t digest_ = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_MEMBERSHIP_MEMBER_TABLE_H_
