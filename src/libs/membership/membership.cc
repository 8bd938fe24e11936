#include "libs/membership/membership.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include "libs/kernel/check.h"

namespace flamingogauge {

Membership::Membership(Member self,
                       std::uint64_t epoch,
                       const MembershipOptions& options,
                       MonotonicTime now)
    : self_host_(self.host),
      self_data_centre_(self.data_centre),
      self_incarnation_(self.incarnation),
      options_(options),
      contact_at_(now),
      contact_dead_at_(now),
      last_active_(now),
      last_heard_(now),
      view_(std::make_shared<const View>()) {
  self.state = MemberState::kAlive;
  table_.Merge({.member = std::move(self), .epoch = epoch, .unreachable = {}},
               Incarnation(), now);
  UpdateTopology(now);
  UpdateView(now);
}

void Membership::SetSeeds(const std::vector<std::string>& addresses) {
  seeds_.clear();
  for (const std::string& it : addresses) {
    seeds_.push_back({.address = it, .host = {}, .data_centre = {}});
  }
}

void Membership::SetListedHosts(std::vector<ContactAddress> listed) {
  listed_ = std::move(listed);
}

void Membership::SetDocumentRevision(std::uint64_t revision) {
  revision_ = std::max(revision_, revision);
}

void Membership::AnnounceLeaving(MonotonicTime now) {
  if (self().state == MemberState::kAlive) {
    table_.SetState(self_host_, MemberState::kLeaving, now);
  }
}

const Member& Membership::self() const {
  return table_.Find(self_host_)->entry.member;
}

Membership::Neighbour& Membership::NeighbourFor(const HostId& host,
                                                MonotonicTime now) {
  const auto [it, inserted] = neighbours_.try_emplace(host);
  if (inserted) {
    // Gives a new neighbour the full silence limit before it can be suspected.
    it->second.last_heard = now;
    it->second.last_sent = now - options_.gateway_interval;
  }
  return it->second;
}

Heartbeat Membership::OnRequest(const Heartbeat& request, MonotonicTime now) {
  HandlePause(now);
  ApplyHeartbeat(request, now);
  UpdateTopology(now);
  UpdateView(now);
  return MakeHeartbeat(request.from, now);
}

void Membership::OnReply(const Heartbeat& reply, MonotonicTime now) {
  HandlePause(now);
  ApplyHeartbeat(reply, now);
  UpdateTopology(now);
  UpdateView(now);
}

void Membership::ApplyHeartbeat(const Heartbeat& heartbeat, MonotonicTime now) {
  if (heartbeat.from == self_host_) {
    return;
  }
  if (now - last_heard_ >= options_.silence_limit) {
    // This host was disconnected or paused, so the missing messages say nothing
    // about the other hosts.
    for (auto& [host, neighbour] : neighbours_) {
      neighbour.last_heard = now;
      neighbour.probing_since.reset();
    }
  }
  last_heard_ = now;
  first_heard_ = has_heard_ ? first_heard_ : now;
  has_heard_ = true;
  Neighbour& neighbour = NeighbourFor(heartbeat.from, now);
  if (neighbour.incarnation != heartbeat.incarnation) {
    neighbour.incarnation = heartbeat.incarnation;
    neighbour.acknowledged = 0;
    neighbour.received = 0;
  }
  for (const MemberEntry& it : heartbeat.changes) {
    ApplyEntry(it, heartbeat.incarnation, now);
  }
  // A message counts as activity only of the process that sent it, not of
  // another process with the same host name.
  const MemberTable::Record* sender = table_.Find(heartbeat.from);
  if (sender == nullptr ||
      sender->entry.member.incarnation == heartbeat.incarnation) {
    neighbour.last_heard = now;
    neighbour.probing_since.reset();
    neighbour.suspicion_count = 0;
  }
  if (heartbeat.base <= neighbour.received) {
    neighbour.received = std::max(neighbour.received, heartbeat.sequence);
  }
  if (heartbeat.acknowledged_incarnation == self_incarnation_.low) {
    neighbour.acknowledged =
        std::max(neighbour.acknowledged, heartbeat.acknowledged);
  }
  if (heartbeat.digest == table_.digest()) {
    // Both tables are equal, so neither side needs the other's pending changes.
    neighbour.received = std::max(neighbour.received, heartbeat.log_head);
    neighbour.acknowledged = table_.head();
  }
  ApplyRevision(heartbeat);
  if (sender != nullptr &&
      sender->entry.member.data_centre != self_data_centre_) {
    remotes_[sender->entry.member.data_centre].last_heard = now;
  }
}

void Membership::ApplyRevision(const Heartbeat& heartbeat) {
  if (heartbeat.document_revision != 0) {
    std::uint64_t& revision = revisions_[heartbeat.from];
    if (revision < heartbeat.document_revision) {
      revision = heartbeat.document_revision;
      ++revisions_version_;
    }
  }
}

void Membership::ApplyEntry(const MemberEntry& entry,
                            const Incarnation& from,
                            MonotonicTime now) {
  if (entry.member.host == self_host_) {
    ApplyOwnEntry(entry, now);
    return;
  }
  const MemberTable::Record* known = table_.Find(entry.member.host);
  const bool is_new_process =
      known == nullptr ||
      known->entry.member.incarnation != entry.member.incarnation;
  if (known == nullptr && table_.records().size() >= options_.max_entries) {
    table_.PruneDead(now - options_.tombstone_retention,
                     options_.max_entries - 1);
    if (table_.records().size() >= options_.max_entries) {
      return;
    }
  }
  if (table_.Merge(entry, from, now) && is_new_process) {
    revisions_.erase(entry.member.host);
    MarkDeadAtSameAddress(entry, now);
  }
}

void Membership::MarkDeadAtSameAddress(const MemberEntry& entry,
                                       MonotonicTime now) {
  if (entry.member.state == MemberState::kDead) {
    return;
  }
  std::vector<HostId> superseded;
  for (const auto& [host, record] : table_.records()) {
    if (host != entry.member.host && host != self_host_ &&
        record.entry.member.peer_address == entry.member.peer_address &&
        record.entry.member.state != MemberState::kDead &&
        record.entry.epoch < entry.epoch) {
      superseded.push_back(host);
    }
  }
  for (const HostId& it : superseded) {
    table_.SetState(it, MemberState::kDead, now);
  }
}

void Membership::ApplyOwnEntry(const MemberEntry& entry, MonotonicTime now) {
  const MemberEntry own = table_.Find(self_host_)->entry;
  if (!Supersedes(entry, own)) {
    return;
  }
  if (entry.member.incarnation != self_incarnation_) {
    const bool is_suspected_or_dead =
        entry.member.state == MemberState::kSuspected ||
        entry.member.state == MemberState::kDead;
    is_replaced_ =
        !is_suspected_or_dead && now - first_heard_ >= options_.takeover_limit;
    if (!is_replaced_) {
      // The clock of the earlier incarnation was ahead of this host's.
      MemberEntry updated = own;
      updated.epoch = entry.epoch + 1;
      table_.Merge(updated, Incarnation(), now);
    }
    return;
  }
  CHECK_INVARIANT("M2",
                  entry.member.entry_version <= own.member.entry_version &&
                      entry.epoch <= own.epoch,
                  "another host raised the entry version of " + self_host_ +
                      " to " + std::to_string(entry.member.entry_version));
  PublishNewVersion(own, now);
}

void Membership::PublishNewVersion(MemberEntry entry, MonotonicTime now) {
  ++entry.member.entry_version;
  table_.Merge(entry, Incarnation(), now);
}

Heartbeat Membership::MakeHeartbeat(const HostId& to, MonotonicTime now) {
  Neighbour& neighbour = NeighbourFor(to, now);
  neighbour.last_sent = now;
  neighbour.revision_sent = revision_;
  Heartbeat heartbeat{.from = self_host_,
                      .incarnation = self_incarnation_,
                      .counter = ++counter_,
                      .document_revision = revision_,
                      .base = neighbour.acknowledged,
                      .log_head = table_.head(),
                      .acknowledged = neighbour.received,
                      .acknowledged_incarnation = neighbour.incarnation.low,
                      .digest = table_.digest(),
                      .changes = {}};
  if (neighbour.acknowledged == 0) {
    heartbeat.changes.push_back(table_.Find(self_host_)->entry);
  }
  const MemberTable::Record* receiver = table_.Find(to);
  if (receiver != nullptr &&
      (receiver->entry.member.state == MemberState::kDead ||
       receiver->entry.member.state == MemberState::kSuspected)) {
    // The receiver must see that it is suspected or dead in order to refute it,
    // even if this entry has been sent before or has expired.
    heartbeat.changes.push_back(receiver->entry);
  }
  heartbeat.sequence = table_.CollectChanges(
      heartbeat.base, neighbour.incarnation, options_.max_changes_per_message,
      now - options_.tombstone_sync_limit, &heartbeat.changes);
  CHECK_INVARIANT(
      "M4", heartbeat.changes.size() <= options_.max_changes_per_message + 2,
      "a heartbeat to " + to + " has " +
          std::to_string(heartbeat.changes.size()) + " changes");
  return heartbeat;
}

HeartbeatAction Membership::MakeAction(const std::string& address,
                                       const HostId& host,
                                       bool needs_new_connection,
                                       MonotonicTime now) {
  HeartbeatAction action{.address = address,
                         .host = host,
                         .needs_new_connection = needs_new_connection,
                         .message = {}};
  if (!host.empty()) {
    action.message = MakeHeartbeat(host, now);
    return action;
  }
  // Only the address is known: send this host's own entry and learn the name of
  // the other host from the reply.
  action.message = {.from = self_host_,
                    .incarnation = self_incarnation_,
                    .counter = ++counter_,
                    .document_revision = revision_,
                    .changes = {table_.Find(self_host_)->entry}};
  return action;
}

std::set<DataCentreId> Membership::UnreachableDataCentres() const {
  // Number of local gateways that report each data centre as unreachable.
  std::map<DataCentreId, std::size_t> reports;
  const auto own = topology_.gateways.find(self_data_centre_);
  if (own == topology_.gateways.end()) {
    return {};
  }
  for (const HostId& gateway : own->second) {
    if (const auto* record = table_.Find(gateway); record != nullptr) {
      for (const DataCentreId& it : record->entry.unreachable) {
        ++reports[it];
      }
    }
  }
  std::set<DataCentreId> result;
  for (const auto& [id, count] : reports) {
    if (count == own->second.size()) {
      result.insert(id);
    }
  }
  return result;
}

MemberState Membership::ViewState(const MemberTable::Record& record,
                                  const std::set<DataCentreId>& unreachable,
                                  MonotonicTime now) const {
  const Member& member = record.entry.member;
  if (member.host == self_host_) {
    return member.state;
  }
  if (member.state == MemberState::kDead) {
    return now - record.suspected_since >= options_.death_grace
               ? MemberState::kDead
               : MemberState::kSuspected;
  }
  if (is_isolated_ || unreachable.count(member.data_centre) > 0) {
    return MemberState::kSuspected;
  }
  return member.state;
}

void Membership::UpdateView(MonotonicTime now) {
  const auto state =
      std::tuple(table_.head(), is_isolated_, revisions_version_, revision_);
  if (state == view_state_ && now < view_due_) {
    return;
  }
  view_state_ = state;
  view_due_ = now + options_.heartbeat_interval;
  const std::set<DataCentreId> unreachable = UnreachableDataCentres();
  auto members = std::make_shared<View>();
  members->reserve(table_.records().size());
  members->push_back(self());
  members->front().document_revision = revision_;
  for (const auto& [host, record] : table_.records()) {
    const bool is_old = record.entry.member.state == MemberState::kDead &&
                        now - record.changed_at > options_.tombstone_sync_limit;
    if (host == self_host_ || is_old) {
      continue;
    }
    Member member = record.entry.member;
    member.state = ViewState(record, unreachable, now);
    const auto revision = revisions_.find(host);
    member.document_revision =
        revision == revisions_.end() ? 0 : revision->second;
    members->push_back(std::move(member));
  }
  const auto key = [](const Member& member) {
    return std::tie(member.host, member.incarnation, member.entry_version,
                    member.state, member.document_revision,
                    member.peer_address);
  };
  const bool is_same = std::equal(
      members->begin(), members->end(), view_->begin(), view_->end(),
      [&key](const Member& a, const Member& b) { return key(a) == key(b); });
  if (!is_same) {
    view_ = std::move(members);
  }
}

}  // namespace flamingogauge
