#ifndef FLAMINGOGAUGE_LIBS_MEMBERSHIP_MEMBER_TABLE_H_
#define FLAMINGOGAUGE_LIBS_MEMBERSHIP_MEMBER_TABLE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "libs/kernel/time.h"
#include "libs/membership/heartbeat.h"

namespace flamingogauge {

// Returns true if `b` supersedes `a`: it has a later incarnation, a higher
// entry version, or the same version in a state of higher precedence (alive,
// leaving, suspected, dead, in ascending order).
bool Supersedes(const MemberEntry& b, const MemberEntry& a);

// This host's replica of the member list, with a log of changes. Merge is
// idempotent and commutative.
class MemberTable {
 public:
  struct Record {
    MemberEntry entry;
    // Sequence number of the entry's latest change in the log.
    std::uint64_t sequence = 0;
    // Process from which the entry was received; empty for local changes. It is
    // an incarnation, because a restarted process of the same host does not
    // have the entry any more.
    Incarnation received_from;
    // Time at which the member became suspected or dead.
    MonotonicTime suspected_since;
    // Time at which the current entry was stored.
    MonotonicTime changed_at;
  };
  using Records = std::map<HostId, Record>;

  // Stores `entry` if it supersedes the known one. Returns whether it did.
  bool Merge(const MemberEntry& entry,
             const Incarnation& from,
             MonotonicTime now);

  // Changes the state without changing the entry version.
  void SetState(const HostId& host, MemberState state, MonotonicTime now);

  const Record* Find(const HostId& host) const;
  const Records& records() const { return records_; }

  // Appends the entries changed after `base` to `changes`, oldest first, except
  // those received from `receiver`, and returns the sequence number up to which
  // the list is complete. If `base` is 0, omits members that have been dead
  // since before `dead_after`.
  std::uint64_t CollectChanges(std::uint64_t base,
                               const Incarnation& receiver,
                               std::size_t limit,
                               MonotonicTime dead_after,
                               std::vector<MemberEntry>* changes) const;

  // Removes members that have been dead since before `dead_before`. If more
  // than `max_entries` entries remain, also removes the one that died first.
  void PruneDead(MonotonicTime dead_before, std::size_t max_entries);

  // Moves all suspicion times forward by `gap`, so that a pause of this process
  // does not count towards suspicion timeouts.
  void ShiftSuspicionTimes(Duration gap);

  std::uint64_t head() const { return head_; }
  // Hash over all entries that are not dead, independent of their order.
  std::uint64_t digest() const { return digest_; }

 private:
  void Erase(Records::iterator it);
  void AppendToLog(Record* record, const Incarnation& from);

  Records records_;
  std::map<std::uint64_t, HostId> log_;
  std::uint64_t head_ = 0;
  std::uint64_t digest_ = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_MEMBERSHIP_MEMBER_TABLE_H_
