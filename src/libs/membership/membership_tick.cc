// Periodic part of Membership: sending heartbeats and detecting failures.
#include <algorithm>
#include <utility>

#include "libs/kernel/check.h"
#include "libs/membership/membership.h"

namespace flamingogauge {
namespace {

// Time before a host that refuted a suspicion may be suspected again; doubled
// with each further suspicion, so that a single broken path does not cause
// repeated suspicions.
constexpr std::chrono::milliseconds kFirstSuspicionBackoff{3000};
constexpr unsigned kMaxBackoffDoublings = 5;
// Number of addresses contacted at the same time before the first answer.
constexpr std::size_t kInitialContacts = 4;
// Number of hosts probed at the same time when a data centre becomes silent.
constexpr std::size_t kInitialProbes = 3;
constexpr std::chrono::seconds kNeighbourRetention{60};
// Practically infinite interval: heartbeats are sent only for pending changes.
constexpr std::chrono::hours kChangesOnlyInterval{100000};

}  // namespace

std::vector<HeartbeatAction> Membership::Tick(MonotonicTime now) {
  HandlePause(now);
  actions_.clear();
  if (is_replaced_) {
    return {};
  }
  UpdateIsolation(now);
  ExpireSuspicions(now);
  UpdateTopology(now);
  CheckSuccessors(now);
  if (topology_.is_gateway) {
    CheckDataCentres(now);
    ContactDeadHosts(now);
  }
  UpdateTopology(now);
  SendHeartbeats(topology_.successors, options_.heartbeat_interval, now);
  SendHeartbeats(topology_.remote_gateways, options_.gateway_interval, now);
  SendHeartbeats(topology_.remote_initiators, kChangesOnlyInterval, now);
  ContactUnknownHosts(now);
  RemoveIdleNeighbours(now);
  table_.PruneDead(now - options_.tombstone_retention, options_.max_entries);
  UpdateView(now);
  return std::exchange(actions_, {});
}

// Discounts a pause of this process from all timeouts: it could not receive
// messages during the pause, so the gap says nothing about other hosts.
void Membership::HandlePause(MonotonicTime now) {
  const Duration gap = now - std::exchange(last_active_, now);
  if (gap < options_.pause_limit) {
    return;
  }
  table_.ShiftSuspicionTimes(gap);
  last_heard_ += gap;
  for (auto& [host, neighbour] : neighbours_) {
    neighbour.last_heard += gap;
    neighbour.probing_since.reset();
  }
  for (auto& [id, remote] : remotes_) {
    remote.last_heard += gap;
    remote.probing_since.reset();
  }
}

void Membership::UpdateIsolation(MonotonicTime now) {
  const bool knows_others =
      !topology_.successors.empty() || topology_.gateways.size() > 1;
  const Duration limit =
      options_.probe_limit + (topology_.successors.empty()
                                  ? options_.gateway_silence_limit
                                  : options_.silence_limit);
  is_isolated_ = has_heard_ && knows_others && now - last_heard_ > limit;
}

void Membership::UpdateTopology(MonotonicTime now) {
  if (topology_head_ == table_.head()) {
    return;
  }
  topology_head_ = table_.head();
  const std::set<DataCentreId> unreachable = UnreachableDataCentres();
  const Topology previous = std::exchange(
      topology_, ComputeTopology(self(), table_.records(), options_));
  for (const HostId& it : topology_.successors) {
    const auto& former = previous.successors;
    if (std::find(former.begin(), former.end(), it) == former.end()) {
      // Gives a new neighbour the full silence limit before it can be
      // suspected.
      NeighbourFor(it, now).last_heard = now;
    }
  }
  if (topology_.is_gateway == previous.is_gateway) {
    return;
  }
  // A new gateway takes over the unreachable data centres reported by the other
  // gateways; a former gateway discards its own reports.
  remotes_.clear();
  MemberEntry own = table_.Find(self_host_)->entry;
  const std::vector<DataCentreId> reported(unreachable.begin(),
                                           unreachable.end());
  own.unreachable =
      topology_.is_gateway ? reported : std::vector<DataCentreId>();
  if (own.unreachable != table_.Find(self_host_)->entry.unreachable) {
    PublishNewVersion(own, now);
    topology_head_ = table_.head();
  }
}

void Membership::ExpireSuspicions(MonotonicTime now) {
  if (is_isolated_ || now - last_heard_ > options_.silence_limit) {
    return;
  }
  std::vector<HostId> dead;
  for (const auto& [host, record] : table_.records()) {
    const Member& member = record.entry.member;
    if (member.state == MemberState::kSuspected &&
        member.data_centre == self_data_centre_ &&
        now - record.suspected_since >= options_.suspicion_limit) {
      dead.push_back(host);
    }
  }
  for (const HostId& it : dead) {
    table_.SetState(it, MemberState::kDead, now);
  }
}

void Membership::SendHeartbeats(const std::vector<HostId>& hosts,
                                Duration interval,
                                MonotonicTime now) {
  for (const HostId& host : hosts) {
    const Neighbour& neighbour = NeighbourFor(host, now);
    const bool has_pending_changes = neighbour.acknowledged < table_.head() ||
                                     neighbour.revision_sent < revision_;
    const Duration wait =
        has_pending_changes
            ? std::min<Duration>(interval, options_.push_interval)
            : interval;
    if (now - neighbour.last_sent >= wait) {
      actions_.push_back(MakeAction(
          table_.Find(host)->entry.member.peer_address, host, false, now));
    }
  }
}

void Membership::CheckSuccessors(MonotonicTime now) {
  for (const HostId& host : topology_.successors) {
    Neighbour& neighbour = NeighbourFor(host, now);
    if (now - neighbour.last_heard < options_.silence_limit) {
      continue;
    }
    if (!neighbour.probing_since) {
      neighbour.probing_since = now;
      actions_.push_back(MakeAction(
          table_.Find(host)->entry.member.peer_address, host, true, now));
    } else if (now - *neighbour.probing_since >= options_.probe_limit) {
      Suspect(host, &neighbour, now);
    }
  }
}

void Membership::Suspect(const HostId& host,
                         Neighbour* neighbour,
                         MonotonicTime now) {
  const MemberState state = table_.Find(host)->entry.member.state;
  // A host that receives no messages is probably disconnected itself.
  if (now - last_heard_ >= options_.silence_limit ||
      now < neighbour->next_suspicion_at || state == MemberState::kSuspected ||
      state == MemberState::kDead) {
    return;
  }
  const unsigned doublings =
      std::min(neighbour->suspicion_count++, kMaxBackoffDoublings);
  neighbour->next_suspicion_at =
      now + kFirstSuspicionBackoff * (1U << doublings);
  neighbour->probing_since = now;
  table_.SetState(host, MemberState::kSuspected, now);
}

void Membership::CheckDataCentres(MonotonicTime now) {
  for (const auto& [id, gateways] : topology_.gateways) {
    if (id == self_data_centre_) {
      continue;
    }
    const auto [it, inserted] = remotes_.try_emplace(id);
    RemoteDataCentre& remote = it->second;
    if (inserted) {
      remote.last_heard = now;
    }
    if (now - remote.last_heard < options_.gateway_silence_limit) {
      remote.probing_since.reset();
      SetUnreachable(id, false, now);
      continue;
    }
    if (!remote.probing_since) {
      remote.probing_since = now;
      ProbeDataCentre(id, &remote, kInitialProbes, now);
    } else if (now >= remote.next_probe) {
      ProbeDataCentre(id, &remote, 1, now);
    }
    if (now - *remote.probing_since >= options_.probe_limit) {
      SetUnreachable(id, true, now);
    }
  }
}

void Membership::ProbeDataCentre(const DataCentreId& id,
                                 RemoteDataCentre* remote,
                                 std::size_t hosts,
                                 MonotonicTime now) {
  remote->next_probe = now + options_.probe_limit;
  std::vector<const Member*> members;
  for (const auto& [host, record] : table_.records()) {
    const Member& member = record.entry.member;
    if (member.data_centre == id && member.state != MemberState::kDead) {
      members.push_back(&member);
    }
  }
  for (std::size_t n = 0; n < std::min(hosts, members.size()); ++n) {
    const Member& member = *members[remote->probes++ % members.size()];
    actions_.push_back(MakeAction(member.peer_address, member.host, true, now));
  }
}

void Membership::SetUnreachable(const DataCentreId& id,
                                bool value,
                                MonotonicTime now) {
  MemberEntry own = table_.Find(self_host_)->entry;
  const auto it = std::find(own.unreachable.begin(), own.unreachable.end(), id);
  if ((it != own.unreachable.end()) == value) {
    return;
  }
  if (value) {
    own.unreachable.push_back(id);
  } else {
    own.unreachable.erase(it);
  }
  PublishNewVersion(own, now);
}

void Membership::ContactUnknownHosts(MonotonicTime now) {
  if (now < contact_at_) {
    return;
  }
  contact_at_ = now + (has_heard_ ? Duration(options_.contact_interval)
                                  : Duration(options_.heartbeat_interval));
  std::vector<const ContactAddress*> unknown;
  for (const auto* list : {&seeds_, &listed_}) {
    for (const ContactAddress& it : *list) {
      const bool is_known =
          std::any_of(table_.records().begin(), table_.records().end(),
                      [&it](const auto& record) {
                        const Member& member = record.second.entry.member;
                        return member.peer_address == it.address &&
                               member.state != MemberState::kDead;
                      });
      const bool should_contact = it.data_centre.empty() ||
                                  it.data_centre == self_data_centre_ ||
                                  topology_.is_gateway;
      if (!is_known && should_contact && it.host != self_host_) {
        unknown.push_back(&it);
      }
    }
  }
  const std::size_t count =
      std::min(unknown.size(), has_heard_ ? 1 : kInitialContacts);
  for (std::size_t n = 0; n < count; ++n) {
    const ContactAddress& it = *unknown[next_contact_++ % unknown.size()];
    actions_.push_back(MakeAction(it.address, HostId(), has_heard_, now));
  }
}

// Contacts dead hosts at a low rate, because a host that was disconnected
// cannot tell when the others can reach it again.
void Membership::ContactDeadHosts(MonotonicTime now) {
  if (now < contact_dead_at_) {
    return;
  }
  contact_dead_at_ = now + options_.contact_interval;
  std::vector<const Member*> dead;
  for (const auto& [host, record] : table_.records()) {
    const Member& member = record.entry.member;
    if (member.state == MemberState::kDead &&
        member.data_centre == self_data_centre_) {
      dead.push_back(&member);
    }
  }
  if (!dead.empty()) {
    const Member& member = *dead[next_dead_++ % dead.size()];
    actions_.push_back(MakeAction(member.peer_address, member.host, true, now));
  }
}

void Membership::RemoveIdleNeighbours(MonotonicTime now) {
  for (auto it = neighbours_.begin(); it != neighbours_.end();) {
    const bool is_idle = now - it->second.last_heard > kNeighbourRetention &&
                         now - it->second.last_sent > kNeighbourRetention;
    it = is_idle ? neighbours_.erase(it) : std::next(it);
  }
  for (auto it = revisions_.begin(); it != revisions_.end();) {
    it = table_.Find(it->first) == nullptr ? revisions_.erase(it)
                                           : std::next(it);
  }
}

}  // namespace flamingogauge
