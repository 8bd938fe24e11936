#include "plugins/scheduler/entry_requests.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace flamingogauge {
namespace {

// Exponential backoff for resending unanswered requests. The scheduler ignores
// a resent request that is still in its queue.
constexpr std::chrono::milliseconds kInitialResendDelay{1000};
constexpr std::chrono::milliseconds kMaxResendDelay{4000};

// A permit with less remaining time than this is returned unused.
constexpr std::chrono::milliseconds kMinPermitTimeLeft{5};

constexpr std::chrono::milliseconds kRetryAfter{1000};

}  // namespace

PermitRequest EntryRequests::WithTimeLeft(MonotonicTime now,
                                          const Pending& pending) const {
  PermitRequest request = pending.request;
  request.time_left = std::chrono::duration_cast<std::chrono::milliseconds>(
      pending.deadline - now);
  return request;
}

void EntryRequests::Send(MonotonicTime now, Pending& pending) {
  pending.resend_delay = std::clamp(pending.resend_delay * 2,
                                    kInitialResendDelay, kMaxResendDelay);
  pending.resend_at = now + pending.resend_delay;
  sender_.Send(pending.scheduler, {.target = pending.request.target,
                                   .body = WithTimeLeft(now, pending)});
}

void EntryRequests::Request(MonotonicTime now, PermitRequest request) {
  const RequestId id = request.id;
  const auto scheduler = schedulers_.find(request.target);
  if (scheduler == schedulers_.end()) {
    Refuse(id, RefusalKind::kUnavailable,
           "no upstream serves " + request.target);
    return;
  }
  Pending& pending = pending_[id];
  pending.deadline = now + request.time_left;
  pending.request = std::move(request);
  pending.scheduler = scheduler->second;
  Send(now, pending);
}

void EntryRequests::Cancel(const RequestId& id) {
  const auto it = pending_.find(id);
  if (it != pending_.end()) {
    sender_.Send(it->second.scheduler, {.target = it->second.request.target,
                                        .body = CancelMessage{id}});
    pending_.erase(it);
  }
}

void EntryRequests::Report(const PermitOutcome& outcome) {
  const auto it = permits_.find(outcome.permit);
  if (it != permits_.end()) {
    sender_.Send(it->second.scheduler,
                 {.target = it->second.target, .body = outcome});
    permits_.erase(it);
  }
}

bool EntryRequests::HasRequest(const RequestId& id) const {
  return pending_.contains(id) ||
         std::any_of(permits_.begin(), permits_.end(), [&id](const auto& it) {
           return it.second.permit.request == id;
         });
}

void EntryRequests::OnGrant(MonotonicTime now,
                            const HostId& from,
                            const std::string& target,
                            const GrantMessage& grant) {
  // A local grant is valid from now. A remote grant was issued after the
  // scheduler received the echoed clock value, so counting from that value
  // never overestimates the lifetime.
  const bool is_local = from == settings_.host;
  const MonotonicTime since =
      is_local
          ? now
          : MonotonicTime(std::chrono::duration_cast<Duration>(grant.echo));
  const MonotonicTime expires_at = since + settings_.permit_time_to_live;
  const auto pending = pending_.find(grant.request);
  if (expires_at < now + kMinPermitTimeLeft) {
    sender_.Send(from, {.target = target,
                        .body = PermitOutcome{.permit = grant.permit,
                                              .request = grant.request,
                                              .upstream = grant.upstream,
                                              .end = PermitEnd::kUnused}});
    if (pending != pending_.end()) {
      Send(now, pending->second);
    }
    return;
  }
  HeldPermit held{.target = target,
                  .scheduler = from,
                  .permit = {.permit = grant.permit,
                             .request = grant.request,
                             .upstream = grant.upstream}};
  if (pending != pending_.end()) {
    const PermitRequest& request = pending->second.request;
    held.permit.workspace = request.workspace;
    held.permit.fingerprint = request.fingerprint;
    held.permit.prompt_tokens = request.prompt_tokens;
    held.permit.max_output_tokens = request.max_output_tokens;
    pending_.erase(pending);
  }
  permits_[grant.permit] = std::move(held);
  if (listener_.on_granted) {
    listener_.on_granted({.id = grant.permit,
                          .request = grant.request,
                          .scheduler_host = from,
                          .upstream = grant.upstream,
                          .address = grant.address,
                          .expires_at = expires_at});
  }
}

void EntryRequests::OnRefuse(const RefuseMessage& refuse) {
  if (pending_.erase(refuse.request) > 0 && listener_.on_refused) {
    listener_.on_refused(refuse.request, refuse.refusal);
  }
}

void EntryRequests::OnRedirect(MonotonicTime now,
                               const RedirectMessage& redirect) {
  const auto it = pending_.find(redirect.request);
  if (it != pending_.end()) {
    it->second.scheduler = redirect.host;
    it->second.redirected = true;
    it->second.resend_delay = {};
    Send(now, it->second);
  }
}

void EntryRequests::SetSchedulers(MonotonicTime now,
                                  const Schedulers& schedulers) {
  const Schedulers previous = std::exchange(schedulers_, schedulers);
  for (const auto& [target, scheduler] : schedulers_) {
    const auto before = previous.find(target);
    if (before == previous.end()) {
      SendReport(now, target, HostId(), scheduler);
    } else if (before->second != scheduler) {
      SendReport(now, target, before->second, scheduler);
    }
  }
}

void EntryRequests::SendReport(MonotonicTime now,
                               const std::string& target,
                               const HostId& previous,
                               const HostId& scheduler) {
  ReportMessage report;
  for (auto& [id, it] : pending_) {
    if (it.request.target != target || it.redirected) {
      continue;
    }
    if (it.scheduler != scheduler) {
      sender_.Send(it.scheduler, {.target = target, .body = CancelMessage{id}});
    }
    it.scheduler = scheduler;
    it.resend_at = now + kInitialResendDelay;
    report.waiting.push_back(WithTimeLeft(now, it));
  }
  for (auto& [id, it] : permits_) {
    // Permits granted by sibling groups stay with their own schedulers.
    if (it.target == target && it.scheduler == previous) {
      it.scheduler = scheduler;
      report.in_use.push_back(it.permit);
    }
  }
  // An empty report is sent too: the new scheduler waits for a report from
  // every host.
  sender_.Send(scheduler, {.target = target, .body = std::move(report)});
}

void EntryRequests::Refuse(const RequestId& id,
                           RefusalKind kind,
                           const std::string& text) {
  if (listener_.on_refused) {
    listener_.on_refused(id, {.kind = kind,
                              .run_status = RunStatus::kAttemptNotRun,
                              .message = "schedule: " + text,
                              .retry_after = kRetryAfter});
  }
}

void EntryRequests::Renew() {
  std::map<std::pair<HostId, std::string>, RenewMessage> renewals;
  for (const auto& [id, it] : permits_) {
    renewals[{it.scheduler, it.target}].permits.push_back(id);
  }
  // Targets with pending requests get an empty renewal, so that the scheduler
  // receives this host's clock to echo in grants.
  for (const auto& [id, it] : pending_) {
    renewals[{it.scheduler, it.request.target}];
  }
  for (auto& [key, message] : renewals) {
    sender_.Send(key.first, {.target = key.second, .body = std::move(message)});
  }
}

void EntryRequests::Advance(MonotonicTime now) {
  if (now - renewed_at_ >= settings_.permit_time_to_live / 4) {
    renewed_at_ = now;
    Renew();
  }
  std::vector<RequestId> expired;
  for (auto& [id, it] : pending_) {
    if (it.deadline <= now) {
      expired.push_back(id);
    } else if (it.resend_at <= now) {
      Send(now, it);
    }
  }
  for (const RequestId& id : expired) {
    const std::string target = pending_.at(id).request.target;
    Cancel(id);
    Refuse(id, RefusalKind::kDeadlineExceeded,
           "no permit for " + target + " before the deadline");
  }
}

}  // namespace flamingogauge
