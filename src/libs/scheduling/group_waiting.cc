// Queueing, expiry and load shedding of waiting requests.

#include <utility>

#include "libs/kernel/check.h"
#include "libs/scheduling/group_scheduler_p.h"

namespace flamingogauge {
namespace {

// Retry delay that is suggested to callers; long enough for a burst to pass.
constexpr std::chrono::milliseconds kRetryAfter{2000};

// Maximum sheds proposed by one call of Advance; the next call follows within
// milliseconds.
constexpr int kMaxShedProposals = 64;

}  // namespace

void GroupScheduler::Private::Enqueue(QueuedRequest& queued) {
  const Tier tier = queued.request.tier;
  by_tier[tier][queued.arrival] = &queued;
  waiting_tokens[tier] += static_cast<double>(queued.Tokens());
  queue_wait.OnArrival(tier, static_cast<double>(queued.Tokens()));
  by_deadline.emplace(queued.deadline, queued.request.id);
  policies.order->Push(&queued);
  queued.in_order = true;
}

void GroupScheduler::Private::Defer(QueuedRequest& queued,
                                    MonotonicTime until) {
  if (queued.in_order) {
    policies.order->Remove(&queued);
    queued.in_order = false;
    deferred.emplace(until, queued.request.id);
  }
}

void GroupScheduler::Private::Erase(const RequestId& id) {
  const auto entry = waiting.find(id);
  if (entry == waiting.end()) {
    return;
  }
  QueuedRequest& queued = *entry->second;
  if (queued.in_order) {
    policies.order->Remove(&queued);
  }
  const Tier tier = queued.request.tier;
  by_tier[tier].erase(queued.arrival);
  waiting_tokens[tier] =
      by_tier[tier].empty()
          ? 0
          : waiting_tokens[tier] - static_cast<double>(queued.Tokens());
  const auto [first, last] = by_deadline.equal_range(queued.deadline);
  for (auto due = first; due != last; ++due) {
    if (due->second == id) {
      by_deadline.erase(due);
      break;
    }
  }
  waiting.erase(entry);
}

void GroupScheduler::Private::Refuse(QueuedRequest& queued,
                                     RefusalKind kind,
                                     std::string message) {
  const bool may_retry = kind == RefusalKind::kCapacity ||
                         kind == RefusalKind::kUnavailable ||
                         kind == RefusalKind::kDeadlineExceeded;
  actions.emplace_back(RefuseAction{
      .request = queued.request.id,
      .host = queued.host,
      .tier = queued.request.tier,
      .refusal = {.kind = kind,
                  .run_status = RunStatus::kAttemptNotRun,
                  .message = "schedule: " + std::move(message),
                  .retry_after =
                      may_retry ? kRetryAfter : std::chrono::milliseconds(0)}});
  const RequestId id = queued.request.id;
  Erase(id);
}

void GroupScheduler::Private::ExpireWaiting(MonotonicTime now) {
  while (!by_deadline.empty() && by_deadline.begin()->first <= now) {
    QueuedRequest& queued = *waiting.at(by_deadline.begin()->second);
    ++late[queued.request.tier];
    Refuse(queued, RefusalKind::kDeadlineExceeded,
           "no upstream of " + config.target +
               " had free capacity before the deadline");
  }
  while (!deferred.empty() && deferred.begin()->first <= now) {
    const auto entry = waiting.find(deferred.begin()->second);
    deferred.erase(deferred.begin());
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
                                         const QueuedRequest& queued) const {
  return std::chrono::duration<double>(queued.deadline - now).count();
}

void GroupScheduler::Private::ProposeSheds(MonotonicTime now) {
  // Only requests of the least urgent waiting tier are shed, newest first. A
  // request of a more urgent tier that would miss its deadline is not shed
  // before all less urgent ones; RequestOrder makes sure that it is served
  // first.
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
    QueuedRequest& queued = *it->second;
    if (!queued.shed_proposed) {
      const double wait =
          queue_wait.ExpectedWait(static_cast<Tier>(lowest), ahead);
      if (!policies.shed->ShouldShed(wait, IdleServiceTime(queued),
                                     TimeLeft(now, queued))) {
        return;
      }
      queued.shed_proposed = true;
      actions.emplace_back(ShedProposal{.request = queued.request.id,
                                        .host = queued.host,
                                        .tier = queued.request.tier});
      if (++proposals == kMaxShedProposals) {
        return;
      }
    }
    ahead -= static_cast<double>(queued.Tokens());
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
  QueuedRequest& queued = *entry->second;
  if (d_->LowestWaitingTier() > queued.request.tier) {
    queued.shed_proposed = false;
    return;
  }
  CHECK_INVARIANT("I2", d_->LowestWaitingTier() <= queued.request.tier,
                  "shed " + ToString(id) + " of tier " +
                      std::to_string(queued.request.tier) +
                      " while a lower tier waits for " + d_->config.target);
  ++d_->shed[queued.request.tier];
  d_->last_shed_evidence = evidence;
  d_->Refuse(queued, RefusalKind::kCapacity,
             "the expected wait for an upstream of " + d_->config.target +
                 " exceeds the deadline; sibling groups: " + evidence);
}

bool GroupScheduler::CanOffer(MonotonicTime now, Tier tier) const {
  if (d_->paused || d_->IdleServiceTime(QueuedRequest{}) < 0) {
    return false;
  }
  if (d_->waiting.empty()) {
    QueuedRequest probe;
    for (std::size_t slot = 0; slot < d_->upstreams.size(); ++slot) {
      const Candidate candidate = d_->MakeCandidate(now, probe, slot, 0);
      if (d_->IsEligible(now, probe, candidate) &&
          d_->policies.admission->CanAdmit(candidate, probe,
                                           AdmissionScope::kAll)) {
        return true;
      }
    }
    return false;
  }
  return d_->LowestWaitingTier() > tier;
}

}  // namespace flamingogauge
