#include "libs/dispatching/waiting_queue.h"

#include <algorithm>
#include <cmath>
#include <queue>
#include <utility>

namespace flamingogauge {
namespace {

// Workspaces that do not wait are looked for beyond this number, and forgotten.
constexpr std::size_t kMinFlowsToSweep = 256;

}  // namespace

WaitingQueue::Rank WaitingQueue::RankOf(const AdmissionCandidate& queued) {
  return {.is_late = queued.is_late,
          .priority = queued.request.priority,
          .is_newcomer = !queued.request.returned};
}

double WaitingQueue::WeightOf(std::uint64_t workspace) const {
  const auto it = weights_->find(workspace);
  return it == weights_->end() || it->second <= 0 ? 1 : it->second;
}

void WaitingQueue::Add(WaitingRequest request, MonotonicTime on_time_until) {
  const std::uint64_t id = request.id;
  Remove(id);
  const bool is_late = request.due_at <= request.arrived_at;
  AdmissionCandidate& queued = requests_[id];
  queued = {.request = std::move(request),
            .on_time_until = on_time_until,
            .is_late = is_late};
  Insert(queued);
  new_.insert(id);
}

void WaitingQueue::Insert(const AdmissionCandidate& queued) {
  Group& group = groups_[RankOf(queued)];
  Flow& flow = group.flows[queued.request.workspace];
  if (flow.waiting.empty()) {
    flow.used = std::max(flow.used, group.floor);
  }
  flow.waiting.insert(
      {.due_at = queued.request.due_at, .id = queued.request.id});
  ++group.size;
  if (queued.is_late) {
    ++late_count_;
  } else {
    expiries_.emplace(queued.on_time_until, queued.request.id);
  }
}

void WaitingQueue::Erase(const AdmissionCandidate& queued) {
  Group& group = groups_[RankOf(queued)];
  Flow& flow = group.flows[queued.request.workspace];
  flow.waiting.erase(
      {.due_at = queued.request.due_at, .id = queued.request.id});
  --group.size;
  if (queued.is_late) {
    --late_count_;
  } else {
    expiries_.erase({queued.on_time_until, queued.request.id});
  }
  if (group.flows.size() > group.sweep_above) {
    std::erase_if(group.flows, [&group](const auto& it) {
      return it.second.waiting.empty() && it.second.used <= group.floor;
    });
    group.sweep_above = std::max(kMinFlowsToSweep, 2 * group.flows.size());
  }
}

bool WaitingQueue::Remove(std::uint64_t id) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) {
    return false;
  }
  Erase(it->second);
  new_.erase(id);
  requests_.erase(it);
  return true;
}

void WaitingQueue::RemovePlaced(std::uint64_t id) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) {
    return;
  }
  const std::uint64_t workspace = it->second.request.workspace;
  Group& group = groups_[RankOf(it->second)];
  Flow& flow = group.flows[workspace];
  group.floor = std::max(group.floor, flow.used);
  flow.used += 1 / WeightOf(workspace);
  Remove(id);
}

void WaitingQueue::Advance(MonotonicTime now) {
  while (!expiries_.empty() && expiries_.begin()->first < now) {
    AdmissionCandidate& queued = requests_.at(expiries_.begin()->second);
    Erase(queued);
    queued.is_late = true;
    Insert(queued);
  }
}

bool WaitingQueue::VisitGroup(const Group& group,
                              const Visitor& visitor) const {
  struct Head {
    double used = 0;
    Turn turn;
    const Flow* flow = nullptr;
    std::set<Turn>::const_iterator next;
    double step = 1;
  };
  const auto is_behind = [](const Head& a, const Head& b) {
    return a.used != b.used ? a.used > b.used : b.turn < a.turn;
  };
  std::priority_queue<Head, std::vector<Head>, decltype(is_behind)> heads(
      is_behind);
  for (const auto& [workspace, flow] : group.flows) {
    if (!flow.waiting.empty()) {
      heads.push({.used = flow.used,
                  .turn = *flow.waiting.begin(),
                  .flow = &flow,
                  .next = flow.waiting.begin(),
                  .step = 1 / WeightOf(workspace)});
    }
  }
  while (!heads.empty()) {
    Head head = heads.top();
    heads.pop();
    if (!visitor(requests_.at(head.turn.id))) {
      return false;
    }
    if (++head.next != head.flow->waiting.end()) {
      head.turn = *head.next;
      head.used += head.step;
      heads.push(head);
    }
  }
  return true;
}

void WaitingQueue::ForEachInOrder(const Visitor& visitor) const {
  for (const auto& [rank, group] : groups_) {
    if (group.size > 0 && !VisitGroup(group, visitor)) {
      return;
    }
  }
}

void WaitingQueue::ForEachLate(const Visitor& visitor) const {
  for (const auto& [rank, group] : groups_) {
    if (rank.is_late && group.size > 0 && !VisitGroup(group, visitor)) {
      return;
    }
  }
}

const AdmissionCandidate* WaitingQueue::Find(std::uint64_t id) const {
  const auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : &it->second;
}

WaitingQueue::Ahead WaitingQueue::CountAhead(
    const AdmissionCandidate& queued) const {
  const Rank own = RankOf(queued);
  Ahead ahead;
  for (const auto& [rank, group] : groups_) {
    if (group.size == 0) {
      continue;
    }
    if (rank.priority < own.priority) {
      ahead.more_urgent += group.size;
    } else if (rank == own) {
      ahead.equal += CountAheadInGroup(group, queued);
    } else if (rank.priority == own.priority) {
      ahead.equal += rank < own ? group.size : 0;
    } else if (rank < own) {
      ahead.less_urgent += group.size;
    }
  }
  return ahead;
}

std::size_t WaitingQueue::CountAheadInGroup(
    const Group& group,
    const AdmissionCandidate& queued) const {
  const std::uint64_t workspace = queued.request.workspace;
  const Turn turn{.due_at = queued.request.due_at, .id = queued.request.id};
  double before = 0;
  double used = group.floor;
  if (const auto own = group.flows.find(workspace); own != group.flows.end()) {
    const std::set<Turn>& waiting = own->second.waiting;
    before = static_cast<double>(
        std::distance(waiting.begin(), waiting.lower_bound(turn)));
    used = std::max(used, own->second.used);
  }
  used += before / WeightOf(workspace);
  double count = before;
  for (const auto& [other, flow] : group.flows) {
    if (other == workspace || flow.waiting.empty() || flow.used > used) {
      continue;
    }
    const double turns = (used - flow.used) * WeightOf(other);
    // Of two workspaces that have used as much, the earlier request is first.
    const bool is_tied = turns == 0 && *flow.waiting.begin() < turn;
    count += std::min(std::ceil(turns) + (is_tied ? 1 : 0),
                      static_cast<double>(flow.waiting.size()));
  }
  return static_cast<std::size_t>(count);
}

void WaitingQueue::SetAdmitted(std::uint64_t id) {
  const auto it = requests_.find(id);
  if (it != requests_.end()) {
    it->second.is_admitted = true;
    new_.erase(id);
  }
}

std::vector<std::uint64_t> WaitingQueue::NewRequests() const {
  return {new_.begin(), new_.end()};
}

}  // namespace flamingogauge
