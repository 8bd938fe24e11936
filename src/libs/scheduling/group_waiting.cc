// Waiting requests: queueing, expiry and load shedding.

#include <utility>

#include "libs/kernel/check.h"
#include "libs/scheduling/group_scheduler_p.h"

namespace flamingogauge {
namespace {

// After a capacity refusal a caller should try again when a burst is over.
constexpr std::chrono::milliseconds kRetryAfter{2000};

// At most this many sheds are proposed in one step; the next step follows
// within milliseconds.
constexpr int kMaxProposals = 64;

}  // namespace

void GroupScheduler::Private::Enqueue(QueuedRequest& it) {
  const Tier tier = it.request.tier;
  by_tier[tier][it.arrival] = &it;
  waiting_tokens[tier] += static_cast<double>(it.Tokens());
  drain.OnArrival(tier, static_cast<double>(it.Tokens()));
  by_deadline.emplace(it.deadline, it.request.id);
  policies.order->Push(&it);
  it.in_order = true;
}

void GroupScheduler::Private::SetAside(QueuedRequest& it, MonotonicTime until) {
  if (it.in_order) {
    policies.order->Remove(&it);
    it.in_order = false;
    aside.emplace(until, it.request.id);
  }
}

void GroupScheduler::Private::Erase(const RequestId& id) {
  const auto entry = waiting.find(id);
  if (entry == waiting.end()) {
    return;
  }
  QueuedRequest& it = *entry->second;
  if (it.in_order) {
    policies.order->Remove(&it);
  }
  const Tier tier = it.request.tier;
  by_tier[tier].erase(it.arrival);
  waiting_tokens[tier] =
      by_tier[tier].empty()
          ? 0
          : waiting_tokens[tier] - static_cast<double>(it.Tokens());
  const auto [first, last] = by_deadline.equal_range(it.deadline);
  for (auto due = first; due != last; ++due) {
    if (due->second == id) {
      by_deadline.erase(due);
      break;
    }
  }
  waiting.erase(entry);
}

void GroupScheduler::Private::Refuse(QueuedRequest& it,
                                     RefusalKind kind,
                                     std::string message) {
  const bool may_retry = kind == RefusalKind::kCapacity ||
                         kind == RefusalKind::kUnavailable ||
                         kind == RefusalKind::kDeadlineExceeded;
  actions.emplace_back(RefuseAction{
      .request = it.request.id,
      .host = it.host,
      .tier = it.request.tier,
      .refusal = {.kind = kind,
                  .run_status = RunStatus::kAttemptNotRun,
                  .message = "schedule: " + std::move(message),
                  .retry_after =
                      may_retry ? kRetryAfter : std::chrono::milliseconds(0)}});
  const RequestId id = it.request.id;
  Erase(id);
}

void GroupScheduler::Private::ExpireWaiting(MonotonicTime now) {
  while (!by_deadline.empty() && by_deadline.begin()->first <= now) {
    QueuedRequest& it = *waiting.at(by_deadline.begin()->second);
    ++late[it.request.tier];
    Refuse(it, RefusalKind::kDeadlineExceeded,
           "no upstream of " + config.target + " had room before the deadline");
  }
  while (!aside.empty() && aside.begin()->first <= now) {
    const auto entry = waiting.find(aside.begin()->second);
    aside.erase(aside.begin());
    if (entry != waiting.end() && !entry->second->in_order) {
      policies.order->Push(entry->second.get());
      entry->second->in_order = true;
    }
  }
}

int GroupScheduler::Private::LowestWaitingTier() const {
  for (int tier = kMaxTiers - 1; tier >= 0; --tier) {
    if (!by_tier[static_cast<std::size_t>(tier)].empty()) {
      return tier;
    }
  }
  return -1;
}

double GroupScheduler::Private::TimeLeft(MonotonicTime now,
                                         const QueuedRequest& it) const {
  return std::chrono::duration<double>(it.deadline - now).count();
}

void GroupScheduler::Private::ProposeSheds(MonotonicTime now) {
  // Only the lowest tier that waits may be shed, newest first. A more urgent
  // tier that cannot be served in time has to wait until no lower one is left;
  // serving it first is the order's duty.
  const int lowest = LowestWaitingTier();
  if (lowest < 0) {
    return;
  }
  double ahead = 0;
  for (int tier = 0; tier <= lowest; ++tier) {
    ahead += waiting_tokens[static_cast<std::size_t>(tier)];
  }
  auto& queue = by_tier[static_cast<std::size_t>(lowest)];
  int proposals = 0;
  for (auto it = queue.rbegin(); it != queue.rend(); ++it) {
    QueuedRequest& candidate = *it->second;
    if (!candidate.shed_proposed) {
      const double wait = drain.ExpectedWait(static_cast<Tier>(lowest), ahead);
      if (!policies.shed->ShouldShed(wait, IdleService(candidate),
                                     TimeLeft(now, candidate))) {
        return;
      }
      candidate.shed_proposed = true;
      actions.emplace_back(ShedProposal{.request = candidate.request.id,
                                        .host = candidate.host,
                                        .tier = candidate.request.tier});
      if (++proposals == kMaxProposals) {
        return;
      }
    }
    ahead -= static_cast<double>(candidate.Tokens());
  }
}

void GroupScheduler::ConfirmShed(MonotonicTime now,
                                 const RequestId& id,
                                 const std::string& evidence) {
  (void)now;
  const auto entry = d_->waiting.find(id);
  if (entry == d_->waiting.end()) {
    return;
  }
  QueuedRequest& it = *entry->second;
  if (d_->LowestWaitingTier() > it.request.tier) {
    it.shed_proposed = false;
    return;
  }
  CHECK_INVARIANT("I2", d_->LowestWaitingTier() <= it.request.tier,
                  "shed " + ToString(id) + " of tier " +
                      std::to_string(it.request.tier) +
                      " while a lower tier waits for " + d_->config.target);
  ++d_->shed[it.request.tier];
  d_->last_shed_evidence = evidence;
  d_->Refuse(
      it, RefusalKind::kCapacity,
      "all upstreams of " + d_->config.target +
          " are occupied longer than the deadline; siblings: " + evidence);
}

bool GroupScheduler::CanOffer(MonotonicTime now, Tier tier) const {
  if (d_->paused || d_->IdleService(QueuedRequest{}) < 0) {
    return false;
  }
  if (d_->waiting.empty()) {
    QueuedRequest probe;
    for (std::size_t slot = 0; slot < d_->upstreams.size(); ++slot) {
      const Candidate candidate = d_->MakeCandidate(now, probe, slot, 0);
      if (d_->IsEligible(now, probe, candidate) &&
          d_->policies.admission->HasRoom(candidate, probe, Room::kAll)) {
        return true;
      }
    }
    return false;
  }
  return d_->LowestWaitingTier() > tier;
}

}  // namespace flamingogauge
