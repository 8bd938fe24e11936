#include "libs/membership/member_table.h"

#include <string>
#include <tuple>

#include "libs/kernel/check.h"
#include "libs/kernel/random.h"
#include "libs/model/fingerprint.h"

namespace flamingogauge {
namespace {

int StatePrecedence(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return 0;
    case MemberState::kLeaving:
      return 1;
    case MemberState::kSuspected:
      return 2;
    case MemberState::kDead:
      return 3;
  }
  return 3;
}

// Identifies one version of the entry of one process.
auto VersionKey(const MemberEntry& entry) {
  return std::tuple(entry.epoch, entry.member.incarnation.high,
                    entry.member.incarnation.low, entry.member.entry_version);
}

auto PrecedenceKey(const MemberEntry& entry) {
  return std::tuple_cat(VersionKey(entry),
                        std::tuple(StatePrecedence(entry.member.state)));
}

bool IsSame(const Incarnation& a, const Incarnation& b) {
  return a.high == b.high && a.low == b.low;
}

bool IsSuspectedOrDead(MemberState state) {
  return state == MemberState::kSuspected || state == MemberState::kDead;
}

// Dead entries do not contribute, because hosts prune them at different times.
std::uint64_t EntryHash(const MemberEntry& entry) {
  if (entry.member.state == MemberState::kDead) {
    return 0;
  }
  const std::uint64_t host = ComputeContentHash(entry.member.host).low;
  std::uint64_t hash = Random(host ^ entry.member.incarnation.high).Next();
  hash = Random(hash ^ entry.member.incarnation.low).Next();
  return Random(hash ^ (std::uint64_t{entry.member.entry_version} << 8) ^
                static_cast<std::uint64_t>(StatePrecedence(entry.member.state)))
      .Next();
}

std::string Describe(const MemberEntry& entry) {
  return entry.member.host + " incarnation " +
         ToString(entry.member.incarnation) + " entry version " +
         std::to_string(entry.member.entry_version) + " state precedence " +
         std::to_string(StatePrecedence(entry.member.state));
}

}  // namespace

bool Supersedes(const MemberEntry& b, const MemberEntry& a) {
  return PrecedenceKey(b) > PrecedenceKey(a);
}

bool MemberTable::Merge(const MemberEntry& entry,
                        const Incarnation& from,
                        MonotonicTime now) {
  const auto [it, inserted] = records_.try_emplace(entry.member.host);
  Record& record = it->second;
  if (!inserted && !Supersedes(entry, record.entry)) {
    return false;
  }
  const MemberEntry previous = record.entry;
  const bool was_suspected_or_dead =
      !inserted && IsSuspectedOrDead(previous.member.state);
  digest_ ^= inserted ? 0 : EntryHash(previous);
  record.entry = entry;
  digest_ ^= EntryHash(entry);
  if (IsSuspectedOrDead(entry.member.state) && !was_suspected_or_dead) {
    record.suspected_since = now;
  }
  record.changed_at = now;
  CHECK_INVARIANT(
      "M1",
      inserted || previous.member.state != MemberState::kDead ||
          VersionKey(entry) > VersionKey(previous),
      "a dead entry was replaced without a higher version or incarnation: " +
          Describe(previous) + " to " + Describe(entry));
  AppendToLog(&record, from);
  return true;
}

void MemberTable::SetState(const HostId& host,
                           MemberState state,
                           MonotonicTime now) {
  const Record* record = Find(host);
  if (record != nullptr) {
    MemberEntry entry = record->entry;
    entry.member.state = state;
    Merge(entry, Incarnation(), now);
  }
}

const MemberTable::Record* MemberTable::Find(const HostId& host) const {
  const auto it = records_.find(host);
  return it == records_.end() ? nullptr : &it->second;
}

std::uint64_t MemberTable::CollectChanges(
    std::uint64_t base,
    const Incarnation& receiver,
    std::size_t limit,
    MonotonicTime dead_after,
    std::vector<MemberEntry>* changes) const {
  std::uint64_t reached = base;
  std::size_t collected = 0;
  for (auto it = log_.upper_bound(base); it != log_.end(); ++it) {
    const Record& record = records_.at(it->second);
    const bool is_expired_tombstone =
        base == 0 && record.entry.member.state == MemberState::kDead &&
        record.changed_at < dead_after;
    const bool is_from_receiver =
        IsSame(record.received_from, receiver) && !IsSame(receiver, {});
    if (!is_from_receiver && !is_expired_tombstone) {
      if (collected == limit) {
        return reached;
      }
      changes->push_back(record.entry);
      ++collected;
    }
    reached = it->first;
  }
  return head_;
}

void MemberTable::PruneDead(MonotonicTime dead_before,
                            std::size_t max_entries) {
  auto oldest = records_.end();
  for (auto it = records_.begin(); it != records_.end();) {
    const auto candidate = it++;
    if (candidate->second.entry.member.state != MemberState::kDead) {
      continue;
    }
    if (candidate->second.changed_at < dead_before) {
      Erase(candidate);
    } else if (oldest == records_.end() ||
               candidate->second.changed_at < oldest->second.changed_at) {
      oldest = candidate;
    }
  }
  if (records_.size() > max_entries && oldest != records_.end()) {
    Erase(oldest);
  }
}

void MemberTable::ShiftSuspicionTimes(Duration gap) {
  for (auto& [host, record] : records_) {
    record.suspected_since += gap;
  }
}

void MemberTable::Erase(Records::iterator it) {
  digest_ ^= EntryHash(it->second.entry);
  log_.erase(it->second.sequence);
  records_.erase(it);
}

void MemberTable::AppendToLog(Record* record, const Incarnation& from) {
  log_.erase(record->sequence);
  record->sequence = ++head_;
  record->received_from = from;
  log_.emplace(record->sequence, record->entry.member.host);
}

}  // namespace flamingogauge
