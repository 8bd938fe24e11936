#include "libs/rollouts/rollout_progress.h"

#include <set>
#include <utility>

namespace flamingogauge {
namespace {

// After this time a silent host counts as gone.
constexpr std::chrono::seconds kGoneTime{5};

template <typename Members>
void KeepOnly(const std::set<std::string>& names, Members& members) {
  std::erase_if(members,
                [&names](const auto& it) { return !names.contains(it.first); });
}

}  // namespace

void RolloutProgress::SetHosts(const std::vector<HostEntry>& hosts,
                               MonotonicTime now) {
  std::set<std::string> nearby;
  std::set<std::string> data_centres;
  for (auto& [name, member] : others_) {
    member.hosts = 0;
  }
  for (const HostEntry& it : hosts) {
    const bool is_near = it.data_centre == data_centre_;
    (is_near ? nearby : data_centres)
        .insert(is_near ? it.name : it.data_centre);
    // The first report of a new host may take some time.
    auto& members = is_near ? hosts_ : others_;
    const auto [member, is_new] = members.try_emplace(
        is_near ? it.name : it.data_centre,
        Member{.heard_at = now, .hosts = is_near ? 1U : 0U});
    member->second.hosts += is_near ? 0 : 1;
  }
  KeepOnly(nearby, hosts_);
  KeepOnly(data_centres, others_);
}

void RolloutProgress::Apply(const std::vector<RolloutState>& rollouts,
                            Member& member,
                            MonotonicTime now) {
  member.heard_at = now;
  member.rollouts.clear();
  for (const RolloutState& it : rollouts) {
    member.rollouts[it.order] = it;
  }
}

void RolloutProgress::OnHost(const std::string& host,
                             const std::vector<RolloutState>& rollouts,
                             MonotonicTime now) {
  Apply(rollouts, hosts_[host], now);
}

void RolloutProgress::OnDataCentre(const std::string& data_centre,
                                   const std::vector<RolloutState>& rollouts,
                                   MonotonicTime now) {
  Apply(rollouts, others_[data_centre], now);
}

void RolloutProgress::BeginObserving(MonotonicTime now) {
  for (auto* members : {&hosts_, &others_}) {
    for (auto& [name, member] : *members) {
      member.heard_at = now;
      member.rollouts.clear();
    }
  }
}

void RolloutProgress::Count(const Member& member,
                            std::uint64_t order,
                            MonotonicTime now,
                            Remaining& remaining) {
  const Duration silence = now - member.heard_at;
  remaining.members += member.hosts;
  if (silence > kGoneTime) {
    remaining.silent += member.hosts;
    return;
  }
  const auto it = member.rollouts.find(order);
  const bool has_moved = silence <= kRolloutReportLifetime &&
                         it != member.rollouts.end() &&
                         it->second.phase != RolloutPhase::kTrial;
  remaining.behind += has_moved ? it->second.hosts_behind : 1;
  if (it != member.rollouts.end()) {
    remaining.running += it->second.old_running;
  }
}

RolloutProgress::Remaining RolloutProgress::Nearby(std::uint64_t order,
                                                   MonotonicTime now) const {
  Remaining remaining;
  for (const auto& [name, member] : hosts_) {
    Count(member, order, now, remaining);
  }
  return remaining;
}

RolloutProgress::Remaining RolloutProgress::Everywhere(
    std::uint64_t order,
    MonotonicTime now) const {
  Remaining remaining = Nearby(order, now);
  for (const auto& [name, member] : others_) {
    Count(member, order, now, remaining);
  }
  return remaining;
}

}  // namespace flamingogauge
