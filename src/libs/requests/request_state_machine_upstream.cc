// The part of the state machine that handles the events of an upstream call.

#include <algorithm>
#include <chrono>
#include <utility>

#include "libs/kernel/check.h"
#include "libs/requests/request_state_machine.h"

namespace flamingogauge {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

constexpr int kStatusOk = 200;
constexpr std::chrono::milliseconds kRetryAfter{500};

std::string UpstreamStep(const Permit& permit) {
  return "call upstream " + permit.upstream;
}

// How a failed attempt is reported to the scheduler.
PermitEnd PermitEndForError(const Error& error) {
  switch (error.code) {
    case ErrorCode::kCancelled:
      return PermitEnd::kCancelled;
    case ErrorCode::kPeerCrashed:
      return PermitEnd::kCrashed;
    default:
      return PermitEnd::kFailed;
  }
}

RefusalKind RefusalKindForError(const Error& error) {
  switch (error.code) {
    case ErrorCode::kTimeout:
      return RefusalKind::kDeadlineExceeded;
    case ErrorCode::kInvalidArgument:
      // The upstream answered with a status from 400 to 499.
      return RefusalKind::kInvalidRequest;
    default:
      return RefusalKind::kUpstreamError;
  }
}

}  // namespace

bool RequestStateMachine::IsCurrent(std::uint32_t attempt) const {
  return attempt == attempt_ && (state_ == RequestState::kConnecting ||
                                 state_ == RequestState::kSending ||
                                 state_ == RequestState::kStreaming ||
                                 state_ == RequestState::kStopping);
}

RunStatus RequestStateMachine::StartedRunStatus() const {
  return status_ != 0 ? RunStatus::kExecuted : RunStatus::kUnknown;
}

void RequestStateMachine::On(const UpstreamSendingEvent& event) {
  if (IsCurrent(event.attempt) && state_ == RequestState::kConnecting) {
    state_ = RequestState::kSending;
  }
}

void RequestStateMachine::On(const UpstreamHeadEvent& event) {
  if (!IsCurrent(event.attempt)) {
    return;
  }
  CHECK_INVARIANT(
      "I1", gate_->MayHaveRun(),
      "response to request " + ToString(spec_.id) + " that was not dispatched");
  status_ = event.status;
  content_type_ = event.content_type;
  if (state_ != RequestState::kStopping) {
    state_ = RequestState::kStreaming;
  }
}

void RequestStateMachine::On(const UpstreamDataEvent& event) {
  if (!IsCurrent(event.attempt)) {
    return;
  }
  if (first_token_at_ == MonotonicTime{}) {
    first_token_at_ = now_;
  }
  if (!IsService() && status_ == kStatusOk) {
    DeliverEngineEvent(event.data);
    return;
  }
  if (body_.size() + event.data.size() <= limits_.max_answer_bytes) {
    body_ += event.data;
  } else {
    body_truncated_ = true;
    On(ResponseTooLargeEvent{});
  }
}

void RequestStateMachine::DeliverEngineEvent(const std::string& data) {
  ++output_tokens_;
  if (caller_disconnected_ || answered_) {
    return;
  }
  if (!answer_started_) {
    answer_started_ = true;
    answer_attempt_ = attempt_;
    if (spec_.response_mode == ResponseMode::kStream) {
      Emit(StartResponseAction{.upstream = permit_.upstream});
    }
  }
  CHECK_INVARIANT("I3", answer_attempt_ == attempt_,
                  "response to request " + ToString(spec_.id) +
                      " with the events of two attempts");
  Emit(SendEventAction{.data = data});
}

void RequestStateMachine::On(const UsageEvent& event) {
  cached_tokens_ = event.cached_tokens;
  reported_output_tokens_ = event.output_tokens;
}

void RequestStateMachine::On(const ResponseTooLargeEvent& /*event*/) {
  if (answered_ || !IsCurrent(attempt_)) {
    return;
  }
  Fail({.kind = RefusalKind::kUpstreamError,
        .run_status = RunStatus::kExecuted,
        .message = UpstreamStep(permit_) + ": the response exceeds " +
                   std::to_string(limits_.max_answer_bytes) + " bytes"});
  if (!spec_.needs_claim) {
    state_ = RequestState::kStopping;
    Emit(CancelUpstreamAction{});
  }
}

void RequestStateMachine::On(const UpstreamCompletedEvent& event) {
  if (!IsCurrent(event.attempt)) {
    return;
  }
  CHECK_INVARIANT("I1", gate_->dispatch_count() > 0 && gate_->MayHaveRun(),
                  "completion of request " + ToString(spec_.id) +
                      " that was not dispatched");
  ReportPermit(PermitEnd::kCompleted);
  if (IsService()) {
    CompleteService();
  } else {
    CompleteEngine();
  }
  Finish();
}

void RequestStateMachine::CompleteEngine() {
  if (caller_disconnected_ || answered_) {
    return;
  }
  if (status_ != kStatusOk) {
    Fail({.kind = RefusalKind::kUpstreamError,
          .run_status = RunStatus::kUnknown,
          .message = UpstreamStep(permit_) + ": status " +
                     std::to_string(status_) + ": " + body_.substr(0, 512)});
    return;
  }
  if (!answer_started_ && spec_.response_mode == ResponseMode::kStream) {
    Emit(StartResponseAction{.upstream = permit_.upstream});
  }
  answer_started_ = true;
  answered_ = true;
  Emit(FinishResponseAction{});
}

void RequestStateMachine::CompleteService() {
  if (!caller_disconnected_ && !answered_) {
    answered_ = true;
    Emit(SendResponseAction{
        .status = status_, .content_type = content_type_, .body = body_});
  }
  if (claim_owned_) {
    const bool kept =
        !body_truncated_ && body_.size() <= limits_.max_recorded_bytes;
    Emit(RecordClaimAction{
        .outcome = {.status = status_,
                    .content_type = content_type_,
                    .body = kept ? std::move(body_) : std::string(),
                    .body_kept = kept}});
  }
}

void RequestStateMachine::On(const UpstreamFailedEvent& event) {
  if (!IsCurrent(event.attempt)) {
    return;
  }
  // A response head contradicts a report that nothing was executed.
  const bool not_executed =
      event.knowledge != ExecutionKnowledge::kMaybeExecuted && status_ == 0 &&
      gate_->ConfirmNotExecuted(event.attempt);
  if (not_executed) {
    HandleNotExecuted(event.error, event.knowledge);
  } else {
    HandleMaybeExecuted(event.error);
  }
}

void RequestStateMachine::HandleNotExecuted(const Error& error,
                                            ExecutionKnowledge knowledge) {
  const bool dispatch_prevented =
      pending_refusal_.has_value() || now_ >= DispatchDeadline(permit_);
  const bool refused = knowledge == ExecutionKnowledge::kNotExecuted;
  ReportPermit(dispatch_prevented && !refused ? PermitEnd::kUnused
                                              : PermitEnd::kNotExecuted);
  if (answered_) {
    // The caller was already told that the request may have been executed,
    // which is imprecise but not wrong. The released claim allows the caller to
    // resend the request.
    if (claim_owned_) {
      Emit(ReleaseClaimAction{});
    }
    Finish();
    return;
  }
  if (pending_refusal_ || caller_disconnected_) {
    Refuse(
        pending_refusal_.value_or(Refusal{.kind = RefusalKind::kUnavailable}));
    return;
  }
  RetryOrRefuse(error, refused || !dispatch_prevented);
}

void RequestStateMachine::RetryOrRefuse(const Error& error, bool permit_used) {
  if (now_ >= spec_.deadline) {
    Refuse({.kind = RefusalKind::kDeadlineExceeded,
            .message = ToString(error) + "; the deadline passed"});
    return;
  }
  const bool claim_expired = claim_owned_ && now_ >= claim_valid_until_;
  bool retry = !claim_expired;
  if (permit_used) {
    excluded_.push_back(permit_.upstream);
    retry = retry && retries_++ < limits_.max_retries;
  } else {
    retry = retry && stale_permits_++ < limits_.max_stale_permits;
  }
  if (retry) {
    Queue();
    return;
  }
  Refuse({.kind = RefusalKind::kUnavailable,
          .message = ToString(error),
          .retry_after = kRetryAfter});
}

void RequestStateMachine::HandleMaybeExecuted(const Error& error) {
  ReportPermit(PermitEndForError(error));
  if (claim_owned_) {
    Emit(LeaveClaimUnresolvedAction{});
  }
  Fail({.kind = RefusalKindForError(error),
        .run_status = StartedRunStatus(),
        .message = ToString(error)});
  Finish();
}

void RequestStateMachine::StopAttempt(const Refusal& refusal) {
  if (gate_->Close()) {
    // Nothing was sent, and the closed gate prevents any later dispatch.
    pending_refusal_ = refusal;
    state_ = RequestState::kStopping;
    Emit(CancelUpstreamAction{});
    return;
  }
  Refusal failure = refusal;
  failure.run_status = StartedRunStatus();
  Fail(std::move(failure));
  if (!spec_.needs_claim) {
    state_ = RequestState::kStopping;
    Emit(CancelUpstreamAction{});
  }
}

void RequestStateMachine::Fail(Refusal refusal) {
  CHECK_INVARIANT("I4",
                  refusal.run_status == RunStatus::kUnknown ||
                      refusal.run_status == RunStatus::kExecuted,
                  "fail request " + ToString(spec_.id) + " as " +
                      std::string(ToString(refusal.run_status)));
  if (!caller_disconnected_ && !answered_) {
    if (answer_started_ && spec_.response_mode == ResponseMode::kStream) {
      Emit(FailResponseAction{.refusal = std::move(refusal)});
    } else {
      Emit(SendRefusalAction{.refusal = std::move(refusal)});
    }
  }
  answered_ = true;
}

void RequestStateMachine::ReportPermit(PermitEnd end) {
  const auto first_token =
      first_token_at_ == MonotonicTime{}
          ? microseconds{0}
          : duration_cast<microseconds>(first_token_at_ - started_at_);
  Emit(ReportPermitAction{
      .outcome = {
          .permit = permit_.id,
          .request = spec_.id,
          .upstream = permit_.upstream,
          .end = end,
          .prompt_tokens = spec_.prompt_tokens,
          .cached_tokens = cached_tokens_,
          .output_tokens = std::max(output_tokens_, reported_output_tokens_),
          .time_to_first_token = first_token,
          .total_time = end == PermitEnd::kUnused ? microseconds{0}
                                                  : duration_cast<microseconds>(
                                                        now_ - started_at_)}});
}

}  // namespace flamingogauge
