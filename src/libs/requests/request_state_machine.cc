#include "libs/requests/request_state_machine.h"

#include <algorithm>
#include <type_traits>
#include <utility>
#include <variant>

#include "libs/kernel/check.h"

namespace flamingogauge {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr milliseconds kRetryAfter{1000};

Refusal DeadlineRefusal(const std::string& step) {
  return {.kind = RefusalKind::kDeadlineExceeded,
          .message = step + ": the deadline passed"};
}

Refusal CallerDisconnectedRefusal() {
  return {.kind = RefusalKind::kUnavailable,
          .message = "the caller closed the connection"};
}

}  // namespace

std::string_view ToString(RequestState state) {
  switch (state) {
    case RequestState::kReceived:
      return "received";
    case RequestState::kClaiming:
      return "claiming";
    case RequestState::kQueued:
      return "queued";
    case RequestState::kConnecting:
      return "connecting";
    case RequestState::kSending:
      return "sending";
    case RequestState::kStreaming:
      return "streaming";
    case RequestState::kStopping:
      return "stopping";
    case RequestState::kReleasing:
      return "releasing";
    case RequestState::kFinished:
      return "finished";
  }
  return "unknown";
}

RequestStateMachine::RequestStateMachine(RequestSpec spec, RequestLimits limits)
    : spec_(std::move(spec)),
      limits_(limits),
      gate_(std::make_shared<DispatchGate>(spec_.id)) {}

std::vector<RequestAction> RequestStateMachine::Handle(
    const RequestEvent& event,
    MonotonicTime now) {
  now_ = now;
  actions_.clear();
  std::visit([this](const auto& it) { On(it); }, event);
  return std::move(actions_);
}

MonotonicTime RequestStateMachine::NextTimeout() const {
  switch (state_) {
    case RequestState::kClaiming:
      return claim_deadline_;
    case RequestState::kReleasing:
      return release_deadline_;
    case RequestState::kQueued:
    case RequestState::kConnecting:
    case RequestState::kSending:
      return answered_ ? MonotonicTime::max() : spec_.deadline;
    case RequestState::kReceived:
    case RequestState::kStreaming:
    case RequestState::kStopping:
    case RequestState::kFinished:
      break;
  }
  return MonotonicTime::max();
}

void RequestStateMachine::On(const SubmittedEvent& /*event*/) {
  if (state_ != RequestState::kReceived) {
    return;
  }
  if (now_ >= spec_.deadline) {
    Refuse(DeadlineRefusal("accept"));
    return;
  }
  if (!spec_.needs_claim) {
    Queue();
    return;
  }
  state_ = RequestState::kClaiming;
  claim_deadline_ = spec_.deadline + limits_.claim_grace;
  Emit(AcquireClaimAction{.request = {.id = spec_.id,
                                      .workspace = spec_.workspace,
                                      .service = spec_.target,
                                      .idempotency_key = spec_.idempotency_key,
                                      .fingerprint = spec_.fingerprint,
                                      .time_left = duration_cast<milliseconds>(
                                          spec_.deadline - now_)}});
}

void RequestStateMachine::On(const ClaimAnsweredEvent& event) {
  if (state_ == RequestState::kClaiming) {
    UseClaim(event.answer);
    return;
  }
  // The state machine no longer waits for this claim, and nothing was executed
  // under it.
  if (event.answer.verdict == ClaimVerdict::kOwned && !claim_owned_) {
    Emit(ReleaseClaimAction{});
  }
}

void RequestStateMachine::AbandonClaim(Refusal refusal) {
  if (pending_refusal_) {
    return;
  }
  // The claim may have been acquired concurrently, so the state machine waits
  // for the result in order to release it.
  pending_refusal_ = std::move(refusal);
  claim_deadline_ = now_ + limits_.abandon_grace;
  Emit(AbandonClaimAction{});
}

void RequestStateMachine::UseClaim(const ClaimAnswer& answer) {
  switch (answer.verdict) {
    case ClaimVerdict::kOwned:
      claim_owned_ = true;
      claim_valid_until_ = answer.dispatch_until;
      if (pending_refusal_) {
        Refuse(*pending_refusal_);
      } else if (now_ >= spec_.deadline) {
        Refuse(DeadlineRefusal("claim"));
      } else {
        Queue();
      }
      return;
    case ClaimVerdict::kRecorded:
      if (!answer.outcome.body_kept) {
        SendRefusal({.kind = RefusalKind::kClaimUnresolved,
                     .run_status = RunStatus::kExecuted,
                     .message = "claim: an earlier attempt was executed; its "
                                "response was too large to be stored"});
      } else if (!caller_disconnected_) {
        Emit(SendResponseAction{.status = answer.outcome.status,
                                .content_type = answer.outcome.content_type,
                                .body = answer.outcome.body,
                                .recorded = true});
      }
      answered_ = true;
      Finish();
      return;
    case ClaimVerdict::kRefused:
      SendRefusal([this, &answer] {
        Refusal refusal = answer.refusal;
        if (refusal.run_status == RunStatus::kNotRun) {
          // Only the owner of a released claim knows that no earlier attempt
          // was executed.
          refusal.run_status = NotRunStatus(false);
        }
        return refusal;
      }());
      Finish();
      return;
  }
}

void RequestStateMachine::On(const ClaimReleasedEvent& event) {
  if (state_ != RequestState::kReleasing) {
    return;
  }
  Refusal refusal = *pending_refusal_;
  refusal.run_status = NotRunStatus(event.confirmed);
  CHECK_INVARIANT("I4",
                  refusal.run_status != RunStatus::kNotRun || event.confirmed,
                  "refuse request " + ToString(spec_.id) +
                      " as not run without a confirmed release");
  SendRefusal(refusal);
  Finish();
}

void RequestStateMachine::Queue() {
  state_ = RequestState::kQueued;
  Emit(RequestPermitAction{
      .request = {
          .id = spec_.id,
          .target = spec_.target,
          .is_service = IsService(),
          .workspace = spec_.workspace,
          .tier = spec_.tier,
          .fingerprint = spec_.fingerprint,
          .prompt_tokens = spec_.prompt_tokens,
          .max_output_tokens = spec_.max_output_tokens,
          .prefix_hashes = spec_.prefix_hashes,
          .time_left = duration_cast<milliseconds>(spec_.deadline - now_),
          .excluded = excluded_}});
}

MonotonicTime RequestStateMachine::DispatchDeadline(
    const Permit& permit) const {
  const MonotonicTime limit = std::min(permit.expires_at, spec_.deadline);
  return claim_owned_ ? std::min(limit, claim_valid_until_) : limit;
}

void RequestStateMachine::On(const PermitGrantedEvent& event) {
  const Permit& permit = event.permit;
  if (state_ != RequestState::kQueued) {
    // A second scheduler granted a permit too, or the request was cancelled.
    Emit(ReportPermitAction{.outcome = {.permit = permit.id,
                                        .request = spec_.id,
                                        .upstream = permit.upstream,
                                        .end = PermitEnd::kUnused}});
    return;
  }
  permit_ = permit;
  if (now_ >= DispatchDeadline(permit)) {
    ReportPermit(PermitEnd::kUnused);
    RetryOrRefuse({.code = ErrorCode::kTimeout,
                   .step = "use permit",
                   .peer = permit.scheduler_host,
                   .message = "the permit expired before it was used"},
                  false);
    return;
  }
  StartAttempt(permit);
}

void RequestStateMachine::StartAttempt(const Permit& permit) {
  ++attempt_;
  gate_->Arm(attempt_, permit.id, DispatchDeadline(permit));
  state_ = RequestState::kConnecting;
  started_at_ = now_;
  const auto time_left = duration_cast<milliseconds>(spec_.deadline - now_);
  Emit(StartUpstreamAction{
      .attempt = attempt_,
      .permit = permit,
      // A non-idempotent call continues after the deadline, so that its outcome
      // can be recorded.
      .first_byte_time_limit =
          spec_.needs_claim ? time_left + limits_.max_overrun : time_left,
      .total_time_limit = time_left + limits_.max_overrun});
}

void RequestStateMachine::On(const PermitRefusedEvent& event) {
  if (state_ == RequestState::kQueued) {
    Refuse(event.refusal);
  }
}

void RequestStateMachine::On(const CallerBacklogEvent& event) {
  const bool in_progress =
      state_ == RequestState::kSending || state_ == RequestState::kStreaming;
  const bool pause = event.outstanding_bytes > limits_.pause_bytes;
  if (in_progress && !answered_ && pause != paused_) {
    paused_ = pause;
    Emit(PauseUpstreamAction{.paused = pause});
  }
}

void RequestStateMachine::On(const CallerDisconnectedEvent& /*event*/) {
  caller_disconnected_ = true;
  switch (state_) {
    case RequestState::kClaiming:
      AbandonClaim(CallerDisconnectedRefusal());
      return;
    case RequestState::kQueued:
      Emit(CancelPermitAction{});
      Refuse(CallerDisconnectedRefusal());
      return;
    case RequestState::kConnecting:
    case RequestState::kSending:
    case RequestState::kStreaming:
      // A dispatched non-idempotent call continues, so that its outcome can be
      // recorded.
      if (!spec_.needs_claim || gate_->Close()) {
        StopAttempt(CallerDisconnectedRefusal());
      } else if (paused_) {
        paused_ = false;
        Emit(PauseUpstreamAction{.paused = false});
      }
      return;
    case RequestState::kReceived:
    case RequestState::kStopping:
    case RequestState::kReleasing:
    case RequestState::kFinished:
      return;
  }
}

void RequestStateMachine::On(const DrainEvent& /*event*/) {
  const Refusal refusal{.kind = RefusalKind::kDraining,
                        .message = "this host is being stopped",
                        .retry_after = kRetryAfter};
  if (state_ == RequestState::kClaiming && !pending_refusal_) {
    AbandonClaim(refusal);
  } else if (state_ == RequestState::kQueued) {
    Emit(CancelPermitAction{});
    Refuse(refusal);
  }
}

void RequestStateMachine::On(const TimerEvent& /*event*/) {
  if (now_ < NextTimeout()) {
    return;
  }
  switch (state_) {
    case RequestState::kClaiming:
      if (!pending_refusal_) {
        Emit(AbandonClaimAction{});
      }
      Refuse(pending_refusal_.value_or(
          Refusal{.kind = RefusalKind::kUnavailable,
                  .message = "claim: no answer from the claim service",
                  .retry_after = kRetryAfter}));
      return;
    case RequestState::kReleasing:
      On(ClaimReleasedEvent{.confirmed = false});
      return;
    case RequestState::kQueued:
      Emit(CancelPermitAction{});
      Refuse(DeadlineRefusal("wait for a permit"));
      return;
    case RequestState::kConnecting:
    case RequestState::kSending:
      StopAttempt(DeadlineRefusal("wait for upstream " + permit_.upstream));
      return;
    case RequestState::kReceived:
    case RequestState::kStreaming:
    case RequestState::kStopping:
    case RequestState::kFinished:
      return;
  }
}

RunStatus RequestStateMachine::NotRunStatus(bool release_confirmed) const {
  return spec_.idempotency_key.empty() || release_confirmed
             ? RunStatus::kNotRun
             : RunStatus::kAttemptNotRun;
}

void RequestStateMachine::Refuse(Refusal refusal) {
  CHECK_INVARIANT("I4", !gate_->MayHaveRun(),
                  "refuse request " + ToString(spec_.id) + " in state " +
                      std::string(ToString(state_)) +
                      ", which may have been executed");
  if (claim_owned_) {
    state_ = RequestState::kReleasing;
    release_deadline_ = now_ + limits_.release_time_limit;
    pending_refusal_ = std::move(refusal);
    Emit(ReleaseClaimAction{});
    return;
  }
  refusal.run_status = NotRunStatus(false);
  SendRefusal(refusal);
  Finish();
}

void RequestStateMachine::SendRefusal(const Refusal& refusal) {
  CHECK_INVARIANT(
      "I4",
      refusal.run_status != RunStatus::kNotRun ||
          (!gate_->MayHaveRun() && !answer_started_),
      "report not-run for a request that may have run: " + ToString(spec_.id));
  if (!caller_disconnected_ && !answered_) {
    Emit(SendRefusalAction{.refusal = refusal});
  }
  answered_ = true;
}

void RequestStateMachine::Finish() {
  state_ = RequestState::kFinished;
  Emit(RemoveRequestAction{});
}

}  // namespace flamingogauge
