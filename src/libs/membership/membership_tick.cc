// The timed part of Membership: whom to send heartbeats and whom to judge.
#include <algorithm>
#include <utility>

#include "libs/kernel/check.h"
#include "libs/membership/membership.h"

namespace flamingogauge {
namespace {

// Waiting time after the first accusation of a host that refuted it, doubled
// with each further one: a single broken path must not keep accusing.
constexpr std::chrono::milliseconds kFirstAccusationPause{3000};
constexpr unsigned kMaxAccusationDoublings = 5;
// Addresses tried at once while nobody has answered yet.
constexpr std::size_t kContactsAtStart = 4;
// Hosts probed at once before a data centre counts as out of reach.
constexpr std::size_t kFirstProbes = 3;
constexpr std::chrono::seconds kNeighbourRetention{60};
// An interval that never ends.
constexpr std::chrono::hours kOnlyNews{100000};

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
  JudgeSuccessors(now);
  if (topology_.is_gateway) {
    JudgeDataCentres(now);
    ContactDead(now);
  }
  UpdateTopology(now);
  SendHeartbeats(topology_.successors, options_.heartbeat_interval, now);
  SendHeartbeats(topology_.remote_gateways, options_.gateway_interval, now);
  SendHeartbeats(topology_.remote_starters, kOnlyNews, now);
  ContactUnknown(now);
  ForgetNeighbours(now);
  table_.Forget(now - options_.tombstone_retention, options_.max_entries);
  UpdateView(now);
  return std::exchange(actions_, {});
}

// After a pause of this process the silence of the others is its own.
void Membership::HandlePause(MonotonicTime now) {
  const Duration gap = now - std::exchange(last_active_, now);
  if (gap < options_.pause_limit) {
    return;
  }
  table_.ShiftDoubts(gap);
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
      // A new neighbour has a full silence limit before it is judged.
      NeighbourFor(it, now).last_heard = now;
    }
  }
  if (topology_.is_gateway == previous.is_gateway) {
    return;
  }
  // A new gateway starts from what the others found, and a former one keeps no
  // finding.
  remotes_.clear();
  MemberEntry own = table_.Find(self_host_)->entry;
  const std::vector<DataCentreId> findings(unreachable.begin(),
                                           unreachable.end());
  own.unreachable =
      topology_.is_gateway ? findings : std::vector<DataCentreId>();
  if (own.unreachable != table_.Find(self_host_)->entry.unreachable) {
    RaiseLife(own, now);
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
        now - record.doubted_since >= options_.suspicion_limit) {
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
    const bool has_news = neighbour.acknowledged < table_.head() ||
                          neighbour.revision_sent < revision_;
    const Duration wait =
        has_news ? std::min<Duration>(interval, options_.push_interval)
                 : interval;
    if (now - neighbour.last_sent >= wait) {
      actions_.push_back(MakeAction(
          table_.Find(host)->entry.member.peer_address, host, false, now));
    }
  }
}

void Membership::JudgeSuccessors(MonotonicTime now) {
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
      Accuse(host, &neighbour, now);
    }
  }
}

void Membership::Accuse(const HostId& host,
                        Neighbour* neighbour,
                        MonotonicTime now) {
  const MemberState state = table_.Find(host)->entry.member.state;
  // A host that hears from nobody is itself the one that is cut off.
  if (now - last_heard_ >= options_.silence_limit ||
      now < neighbour->accuse_after || state == MemberState::kSuspected ||
      state == MemberState::kDead) {
    return;
  }
  const unsigned doublings =
      std::min(neighbour->accusations++, kMaxAccusationDoublings);
  neighbour->accuse_after = now + kFirstAccusationPause * (1U << doublings);
  neighbour->probing_since = now;
  table_.SetState(host, MemberState::kSuspected, now);
}

void Membership::JudgeDataCentres(MonotonicTime now) {
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
      ProbeDataCentre(id, &remote, kFirstProbes, now);
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
  RaiseLife(own, now);
}

void Membership::ContactUnknown(MonotonicTime now) {
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
      const bool is_ours = it.data_centre.empty() ||
                           it.data_centre == self_data_centre_ ||
                           topology_.is_gateway;
      if (!is_known && is_ours && it.host != self_host_) {
        unknown.push_back(&it);
      }
    }
  }
  const std::size_t count =
      std::min(unknown.size(), has_heard_ ? 1 : kContactsAtStart);
  for (std::size_t n = 0; n < count; ++n) {
    const ContactAddress& it = *unknown[next_contact_++ % unknown.size()];
    actions_.push_back(MakeAction(it.address, HostId(), has_heard_, now));
  }
}

// The dead are tried at a low rate, because a host that was cut off does not
// know that the others can reach it again.
void Membership::ContactDead(MonotonicTime now) {
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

void Membership::ForgetNeighbours(MonotonicTime now) {
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
