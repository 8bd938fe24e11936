#include "libs/rollouts/rollout_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace flamingogauge {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// How long other hosts are told of an order that has ended.
constexpr std::chrono::seconds kEndedReportTime{10};
// Bounds the messages if there are orders for many services.
constexpr std::size_t kMaxReported = 16;

RolloutRecord ToRecord(const RolloutState& state, MonotonicTime now) {
  RolloutRecord record{.service = state.service,
                       .target = state.target,
                       .order = state.order,
                       .revision = state.revision,
                       .duration = state.duration,
                       .began_at = now - state.age,
                       .learned_at = now,
                       .from = {state.from.begin(), state.from.end()},
                       .phase = state.phase,
                       .outcome = state.outcome,
                       .is_bad = state.is_bad,
                       .reason = state.reason,
                       .is_withdrawn = state.is_withdrawn};
  if (state.permission_age) {
    record.permitted_at = now - *state.permission_age;
  }
  return record;
}

void UpdateEnd(RolloutRecord& record, MonotonicTime now) {
  if (record.HasEnded() && !record.ended_at) {
    record.ended_at = now;
  }
}

}  // namespace

const RolloutRecord* RolloutTable::Find(const std::string& service) const {
  const auto it = records_.find(service);
  return it == records_.end() ? nullptr : &it->second;
}

bool RolloutTable::Merge(const RolloutState& state, MonotonicTime now) {
  const auto it = records_.find(state.service);
  if (it == records_.end() || (it->second.order != state.order &&
                               it->second.revision < state.revision)) {
    RolloutRecord& record = records_[state.service];
    record = ToRecord(state, now);
    UpdateEnd(record, now);
    return true;
  }
  return it->second.order == state.order && MergeSame(state, it->second, now);
}

bool RolloutTable::MergeSame(const RolloutState& state,
                             RolloutRecord& record,
                             MonotonicTime now) {
  const auto facts = [&record] {
    return std::tuple(record.phase, record.outcome, record.is_bad,
                      record.is_withdrawn, record.from.size());
  };
  const auto before = facts();
  if (state.permission_age) {
    const MonotonicTime permitted_at = now - *state.permission_age;
    record.permitted_at =
        std::max(record.permitted_at.value_or(permitted_at), permitted_at);
  }
  record.began_at = std::min(record.began_at, now - state.age);
  record.phase = std::max(record.phase, state.phase);
  // A final outcome is never replaced.
  if (!IsFinal(record.outcome)) {
    record.outcome = std::max(record.outcome, state.outcome);
  }
  if (state.is_bad && !record.is_bad) {
    record.is_bad = true;
    record.reason = state.reason;
  }
  if (record.from.empty()) {
    record.from = {state.from.begin(), state.from.end()};
  }
  if (state.revision > record.revision) {
    record.revision = state.revision;
    record.is_withdrawn = record.is_withdrawn || state.is_withdrawn;
  }
  UpdateEnd(record, now);
  return facts() != before;
}

bool RolloutTable::Withdraw(const std::string& service,
                            std::uint64_t order,
                            MonotonicTime now) {
  const auto it = records_.find(service);
  if (it == records_.end() || it->second.order != order ||
      it->second.is_withdrawn) {
    return false;
  }
  it->second.is_withdrawn = true;
  // The removal is a change of the object.
  ++it->second.revision;
  UpdateEnd(it->second, now);
  return true;
}

bool RolloutTable::Condemn(const std::string& service,
                           const std::string& reason) {
  RolloutRecord& record = records_.at(service);
  // Without other versions there is nothing to go back to.
  if (record.is_bad || record.HasEnded() || record.from.empty()) {
    return false;
  }
  record.is_bad = true;
  record.reason = reason;
  return true;
}

bool RolloutTable::Advance(const std::string& service, RolloutPhase phase) {
  RolloutRecord& record = records_.at(service);
  if (record.phase >= phase || record.IsCondemned() || record.HasEnded()) {
    return false;
  }
  record.phase = phase;
  return true;
}

void RolloutTable::Permit(MonotonicTime now) {
  for (auto& [service, record] : records_) {
    if (!record.HasEnded() && !record.IsCondemned()) {
      record.permitted_at = now;
    }
  }
}

std::vector<RolloutState> RolloutTable::Report(MonotonicTime now) const {
  std::vector<RolloutState> states;
  for (const auto& [service, it] : records_) {
    if ((it.ended_at && now - *it.ended_at > kEndedReportTime) ||
        states.size() == kMaxReported) {
      continue;
    }
    RolloutState state{.service = service,
                       .target = it.target,
                       .order = it.order,
                       .revision = it.revision,
                       .duration = it.duration,
                       .age = duration_cast<milliseconds>(now - it.began_at),
                       .from = {it.from.begin(), it.from.end()},
                       .phase = it.phase,
                       .outcome = it.outcome,
                       .is_bad = it.is_bad,
                       .reason = it.reason,
                       .is_withdrawn = it.is_withdrawn};
    if (it.permitted_at) {
      state.permission_age =
          duration_cast<milliseconds>(now - *it.permitted_at);
    }
    states.push_back(std::move(state));
  }
  return states;
}

}  // namespace flamingogauge
