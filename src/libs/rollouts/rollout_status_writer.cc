#include "libs/rollouts/rollout_status_writer.h"

#include <utility>

namespace flamingogauge {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr milliseconds kWriteInterval{800};
constexpr milliseconds kWriteDelayPerRank{250};

bool SaysTheSame(const RolloutStatus& a, const RolloutStatus& b) {
  return a.outcome == b.outcome && a.target == b.target && a.phase == b.phase;
}

RolloutStatus WantedStatus(const RolloutRecord& record,
                           milliseconds unix_time,
                           MonotonicTime now) {
  RolloutOutcome outcome = RolloutOutcome::kRunning;
  if (record.IsCondemned()) {
    outcome = RolloutOutcome::kRolledBack;
  } else if (record.phase == RolloutPhase::kComplete) {
    outcome = RolloutOutcome::kCompleted;
  }
  return {.outcome = outcome,
          .target = record.target,
          .order = record.order,
          .phase = record.phase,
          .from = {record.from.begin(), record.from.end()},
          .began_at =
              unix_time - duration_cast<milliseconds>(now - record.began_at)};
}

}  // namespace

bool HasOwnStatus(const RolloutOrder& order) {
  const RolloutStatus& status = order.status;
  return status.outcome != RolloutOutcome::kNone &&
         status.target == order.target &&
         (status.order == 0 || status.order == order.order);
}

std::vector<RolloutStatusWriter::GoneOrder> RolloutStatusWriter::SetOrders(
    const std::vector<RolloutOrder>& orders) {
  std::map<std::string, const RolloutOrder*> newest;
  for (const RolloutOrder& it : orders) {
    const RolloutOrder*& known = newest[it.service];
    if (known == nullptr || known->revision < it.revision) {
      known = &it;
    }
  }
  for (const auto& [service, order] : newest) {
    Stored& stored = stored_[service];
    if (stored.order.order != order->order) {
      stored = {};
    }
    stored.order = *order;
  }
  std::vector<GoneOrder> gone;
  std::erase_if(stored_, [&newest, &gone](const auto& it) {
    if (newest.contains(it.first)) {
      return false;
    }
    gone.push_back({.service = it.first, .order = it.second.order.order});
    return true;
  });
  return gone;
}

std::vector<RolloutOrder> RolloutStatusWriter::Orders() const {
  std::vector<RolloutOrder> orders;
  for (const auto& [service, stored] : stored_) {
    orders.push_back(stored.order);
  }
  return orders;
}

bool RolloutStatusWriter::IsDue(const RolloutRecord& record,
                                const RolloutStatus& wanted,
                                const Stored& stored) {
  const RolloutOrder& order = stored.order;
  if (record.order != order.order || record.is_withdrawn ||
      IsFinal(record.outcome)) {
    return false;
  }
  return !HasOwnStatus(order) ||
         (!IsFinal(order.status.outcome) && !SaysTheSame(wanted, order.status));
}

std::vector<RolloutStatusWrite> RolloutStatusWriter::Collect(
    const RolloutTable& table,
    std::size_t rank,
    milliseconds unix_time,
    MonotonicTime now) {
  std::vector<RolloutStatusWrite> writes;
  for (auto& [service, stored] : stored_) {
    const RolloutRecord* record = table.Find(service);
    if (record == nullptr) {
      continue;
    }
    RolloutStatus wanted = WantedStatus(*record, unix_time, now);
    if (!IsDue(*record, wanted, stored)) {
      continue;
    }
    if (!SaysTheSame(wanted, stored.wanted)) {
      stored.wanted = wanted;
      stored.next_write_at =
          now + kWriteDelayPerRank * static_cast<milliseconds::rep>(rank);
    }
    if (stored.write_in_flight || now < stored.next_write_at) {
      continue;
    }
    stored.write_in_flight = true;
    stored.next_write_at = now + kWriteInterval;
    writes.push_back({.name = stored.order.name,
                      .service = service,
                      .revision = stored.order.revision,
                      .status = std::move(wanted)});
  }
  return writes;
}

const RolloutOrder* RolloutStatusWriter::OnWritten(
    const RolloutStatusWrite& write,
    bool done) {
  const auto it = stored_.find(write.service);
  if (it == stored_.end()) {
    return nullptr;
  }
  it->second.write_in_flight = false;
  if (!done || it->second.order.revision != write.revision) {
    return nullptr;
  }
  // The new revision is read with the next change.
  it->second.order.status = write.status;
  return &it->second.order;
}

}  // namespace flamingogauge
