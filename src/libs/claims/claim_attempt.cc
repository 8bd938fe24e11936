#include "libs/claims/claim_attempt.h"

#include <algorithm>
#include <string>
#include <utility>

#include "libs/claims/claim_attempt_p.h"
#include "libs/kernel/check.h"

namespace flamingogauge {
namespace {

using Actions = ClaimAttempt::Actions;

constexpr std::chrono::milliseconds kRetryAfterOutage{1000};

}  // namespace

ClaimRecord ClaimAttempt::Impl::OwnRecord(ClaimState state) const {
  ClaimRecord record{.state = state,
                     .token = options_.token,
                     .owner = options_.owner,
                     .fingerprint = options_.fingerprint,
                     .epoch = options_.epoch};
  if (state == ClaimState::kDone) {
    record.outcome = outcome_;
  }
  return record;
}

Actions ClaimAttempt::Impl::Create() {
  operation_outstanding_ = true;
  write_in_doubt_ = true;
  next_read_.reset();
  return {CreateClaimAction{.record = OwnRecord(ClaimState::kClaimed)}};
}

Actions ClaimAttempt::Impl::Update(ClaimState state,
                                   std::uint64_t expected_version) {
  operation_outstanding_ = true;
  write_in_doubt_ = true;
  next_read_.reset();
  return {UpdateClaimAction{.record = OwnRecord(state),
                            .expected_version = expected_version}};
}

Actions ClaimAttempt::Impl::Read() {
  operation_outstanding_ = true;
  next_read_.reset();
  return {ReadClaimAction{}};
}

void ClaimAttempt::Impl::WaitBeforeNextRead(MonotonicTime now) {
  next_read_ = now + backoff_;
  backoff_ = std::min(backoff_ * 2, options_.max_backoff);
}

Actions ClaimAttempt::Impl::Start(MonotonicTime now) {
  acquire_until_ =
      std::min(options_.deadline, now + options_.acquire_time_limit);
  return Create();
}

Actions ClaimAttempt::Impl::BecomeOwner(MonotonicTime now,
                                        std::uint64_t version) {
  version_ = version;
  ClearInDoubtWrites();
  next_read_.reset();
  if (answered_) {
    // The caller was refused while the outcome of the write was unknown, so the
    // claim is released.
    state_ = State::kReleasing;
    return Update(ClaimState::kReleased, version_);
  }
  state_ = State::kOwned;
  answered_ = true;
  return {ReportVerdictAction{
      .answer = {.verdict = ClaimVerdict::kOwned,
                 .dispatch_until = now + options_.dispatch_window}}};
}

Actions ClaimAttempt::Impl::Refuse(MonotonicTime now,
                                   RefusalKind kind,
                                   RunStatus status,
                                   std::string message) {
  Actions actions;
  if (!answered_) {
    answered_ = true;
    actions.push_back(ReportVerdictAction{
        .answer = {.verdict = ClaimVerdict::kRefused,
                   .refusal = {.kind = kind,
                               .run_status = status,
                               .message = std::move(message),
                               .retry_after = kRetryAfterOutage}}});
  }
  if (!write_in_doubt_) {
    state_ = State::kFinished;
    return actions;
  }
  // A claim of this attempt may still appear in the store. The store is polled
  // for it and the claim released, because no request can be executed under a
  // key that stays claimed.
  retry_until_ = now + options_.background_retry_limit;
  if (!operation_outstanding_) {
    WaitBeforeNextRead(now);
  }
  return actions;
}

Actions ClaimAttempt::Impl::RefuseTimedOut(MonotonicTime now) {
  if (joined_) {
    return Refuse(now, RefusalKind::kClaimUnresolved, RunStatus::kUnknown,
                  "claim: an earlier attempt has no outcome yet");
  }
  return Refuse(
      now, RefusalKind::kUnavailable, RunStatus::kAttemptNotRun,
      "claim (platform store): timed out writing or reading the claim");
}

void ClaimAttempt::Impl::ClearInDoubtWrites() {
  write_in_doubt_ = false;
  earlier_write_in_doubt_ = false;
}

Actions ClaimAttempt::Impl::WaitForInDoubtWrite(MonotonicTime now) {
  if (now >= retry_until_) {
    state_ = State::kFinished;
    return {};
  }
  WaitBeforeNextRead(now);
  return {};
}

Actions ClaimAttempt::Impl::HandleOtherClaim(MonotonicTime now,
                                             const VersionedClaim& claim,
                                             bool owner_alive) {
  if (claim.record.state == ClaimState::kReleased) {
    if (answered_) {
      // An update of this attempt that expects this version may still be
      // applied.
      return WaitForInDoubtWrite(now);
    }
    if (joined_) {
      // The earlier attempt was not executed, and its caller may have been told
      // so. Executing the request now would make that response false.
      ClearInDoubtWrites();
      return Refuse(now, RefusalKind::kUnavailable, RunStatus::kNotRun,
                    "claim: the earlier attempt was refused and not run");
    }
    return Update(ClaimState::kClaimed, claim.version);
  }
  // The key holds the claim of another attempt, so a write of this attempt that
  // expects the key to be absent or to have an older version can no longer be
  // applied.
  ClearInDoubtWrites();
  if (answered_) {
    state_ = State::kFinished;
    return {};
  }
  if (claim.record.fingerprint != options_.fingerprint) {
    return Refuse(now, RefusalKind::kKeyReused, RunStatus::kAttemptNotRun,
                  "claim: the idempotency key was used for another request");
  }
  if (claim.record.state == ClaimState::kDone) {
    answered_ = true;
    state_ = State::kFinished;
    return {ReportVerdictAction{.answer = {.verdict = ClaimVerdict::kRecorded,
                                           .outcome = claim.record.outcome}}};
  }
  joined_ = true;
  acquire_until_ = options_.deadline;
  if (!owner_alive || now >= options_.deadline) {
    return Refuse(now, RefusalKind::kClaimUnresolved, RunStatus::kUnknown,
                  "claim: an earlier attempt (" + ToString(claim.record.owner) +
                      ") has no outcome yet");
  }
  WaitBeforeNextRead(now);
  return {};
}

Actions ClaimAttempt::Impl::HandleAcquiringRead(
    MonotonicTime now,
    ClaimReadResult result,
    const std::optional<VersionedClaim>& claim,
    bool owner_alive) {
  if (result == ClaimReadResult::kFound) {
    if (claim->record.token != options_.token) {
      return HandleOtherClaim(now, *claim, owner_alive);
    }
    if (claim->record.state == ClaimState::kReleased) {
      // Only an abandoned attempt releases its claim without becoming owner.
      ClearInDoubtWrites();
      state_ = State::kFinished;
      return {};
    }
    return BecomeOwner(now, claim->version);
  }
  if (answered_) {
    return WaitForInDoubtWrite(now);
  }
  if (now >= acquire_until_) {
    return RefuseTimedOut(now);
  }
  if (result == ClaimReadResult::kAbsent) {
    // The unconfirmed create may still be applied later. Repeating it with the
    // same token is safe: at most one of them is applied.
    return Create();
  }
  WaitBeforeNextRead(now);
  return {};
}

Actions ClaimAttempt::Impl::EndReleaseReport(bool confirmed) {
  if (release_reported_) {
    return {};
  }
  release_reported_ = true;
  return {ReleaseEndedAction{.confirmed = confirmed}};
}

Actions ClaimAttempt::Impl::FinishSettling(bool confirmed) {
  state_ = State::kFinished;
  ClearInDoubtWrites();
  next_read_.reset();
  return EndReleaseReport(confirmed);
}

Actions ClaimAttempt::Impl::HandleSettlingRead(
    MonotonicTime now,
    ClaimReadResult result,
    const std::optional<VersionedClaim>& claim) {
  const ClaimState wanted =
      state_ == State::kReleasing ? ClaimState::kReleased : ClaimState::kDone;
  if (result == ClaimReadResult::kFound) {
    if (claim->record.token != options_.token) {
      // The release was applied, but another attempt has claimed the key since
      // then, so it is not known whether a request was executed under the key.
      CHECK_INVARIANT("I5", wanted == ClaimState::kReleased,
                      "record outcome: claim of " + ToString(options_.owner) +
                          " was taken by " + ToString(claim->record.owner));
      return FinishSettling(false);
    }
    if (claim->record.state == wanted) {
      return FinishSettling(true);
    }
    if (now < retry_until_) {
      return Update(wanted, claim->version);
    }
    return FinishSettling(false);
  }
  // An absent record was deleted after its retention period.
  if (result == ClaimReadResult::kAbsent || now >= retry_until_) {
    return FinishSettling(false);
  }
  WaitBeforeNextRead(now);
  return ReportOverdueRelease(now);
}

Actions ClaimAttempt::Impl::OnRead(MonotonicTime now,
                                   ClaimReadResult result,
                                   const std::optional<VersionedClaim>& claim,
                                   bool owner_alive) {
  operation_outstanding_ = false;
  switch (state_) {
    case State::kAcquiring:
      return HandleAcquiringRead(now, result, claim, owner_alive);
    case State::kReleasing:
    case State::kRecording:
      return HandleSettlingRead(now, result, claim);
    case State::kOwned:
    case State::kFinished:
      return {};
  }
  return {};
}

Actions ClaimAttempt::Impl::OnWritten(MonotonicTime now,
                                      StoreWriteResult result,
                                      std::uint64_t version) {
  operation_outstanding_ = false;
  if (state_ == State::kFinished || state_ == State::kOwned) {
    return {};
  }
  if (result == StoreWriteResult::kUnknown) {
    earlier_write_in_doubt_ = true;
  } else if (result != StoreWriteResult::kApplied) {
    write_in_doubt_ = earlier_write_in_doubt_;
  }
  if (result == StoreWriteResult::kApplied) {
    return state_ == State::kAcquiring ? BecomeOwner(now, version)
                                       : FinishSettling(true);
  }
  if (state_ == State::kAcquiring) {
    if (result != StoreWriteResult::kNotApplied) {
      return Read();
    }
    if (answered_) {
      if (!write_in_doubt_) {
        state_ = State::kFinished;
        return {};
      }
      return WaitForInDoubtWrite(now);
    }
    if (now >= acquire_until_) {
      return RefuseTimedOut(now);
    }
    WaitBeforeNextRead(now);
    return {};
  }
  if (result == StoreWriteResult::kConflict) {
    return Read();
  }
  if (now >= retry_until_) {
    return FinishSettling(false);
  }
  WaitBeforeNextRead(now);
  return ReportOverdueRelease(now);
}

Actions ClaimAttempt::Impl::ReportOverdueRelease(MonotonicTime now) {
  if (state_ == State::kReleasing && now >= release_report_at_) {
    return EndReleaseReport(false);
  }
  return {};
}

Actions ClaimAttempt::Impl::OnTime(MonotonicTime now) {
  Actions actions = ReportOverdueRelease(now);
  if (state_ == State::kAcquiring && !answered_ && now >= acquire_until_) {
    Actions refused = RefuseTimedOut(now);
    actions.insert(actions.end(), refused.begin(), refused.end());
  }
  if (next_read_ && now >= *next_read_ && !operation_outstanding_ &&
      state_ != State::kFinished) {
    Actions read = Read();
    actions.insert(actions.end(), read.begin(), read.end());
  }
  return actions;
}

Actions ClaimAttempt::Impl::Release(MonotonicTime now) {
  CHECK_INVARIANT(
      "I5", state_ == State::kOwned,
      "release claim that is not owned by " + ToString(options_.owner));
  state_ = State::kReleasing;
  release_reported_ = false;
  release_report_at_ = now + options_.release_time_limit;
  retry_until_ = now + options_.background_retry_limit;
  backoff_ = options_.initial_backoff;
  return Update(ClaimState::kReleased, version_);
}

Actions ClaimAttempt::Impl::Record(MonotonicTime now, RecordedOutcome outcome) {
  CHECK_INVARIANT("I5", state_ == State::kOwned,
                  "record outcome of claim that is not owned by " +
                      ToString(options_.owner));
  state_ = State::kRecording;
  outcome_ = std::move(outcome);
  retry_until_ = now + options_.background_retry_limit;
  backoff_ = options_.initial_backoff;
  return Update(ClaimState::kDone, version_);
}

void ClaimAttempt::Impl::LeaveUnresolved() {
  CHECK_INVARIANT("I5", state_ == State::kOwned,
                  "leave unresolved claim that is not owned by " +
                      ToString(options_.owner));
  state_ = State::kFinished;
}

Actions ClaimAttempt::Impl::Abandon(MonotonicTime now) {
  if (state_ == State::kOwned) {
    return Release(now);
  }
  if (state_ != State::kAcquiring || answered_) {
    return {};
  }
  answered_ = true;
  if (!write_in_doubt_) {
    state_ = State::kFinished;
    next_read_.reset();
    return {};
  }
  retry_until_ = now + options_.background_retry_limit;
  if (!operation_outstanding_ && !next_read_) {
    WaitBeforeNextRead(now);
  }
  return {};
}

std::optional<MonotonicTime> ClaimAttempt::Impl::NextTimeout() const {
  std::optional<MonotonicTime> timeout = next_read_;
  const auto include = [&timeout](MonotonicTime candidate) {
    timeout = timeout ? std::min(*timeout, candidate) : candidate;
  };
  if (state_ == State::kAcquiring && !answered_) {
    include(acquire_until_);
  }
  if (state_ == State::kReleasing && !release_reported_) {
    include(release_report_at_);
  }
  return state_ == State::kFinished ? std::nullopt : timeout;
}

ClaimAttempt::ClaimAttempt(ClaimAttemptOptions options)
    : impl_(std::make_unique<Impl>(options)) {}

ClaimAttempt::~ClaimAttempt() = default;

Actions ClaimAttempt::Start(MonotonicTime now) {
  return impl_->Start(now);
}

Actions ClaimAttempt::OnWritten(MonotonicTime now,
                                StoreWriteResult result,
                                std::uint64_t version) {
  return impl_->OnWritten(now, result, version);
}

Actions ClaimAttempt::OnRead(MonotonicTime now,
                             ClaimReadResult result,
                             const std::optional<VersionedClaim>& claim,
                             bool owner_alive) {
  return impl_->OnRead(now, result, claim, owner_alive);
}

Actions ClaimAttempt::OnTime(MonotonicTime now) {
  return impl_->OnTime(now);
}

Actions ClaimAttempt::Release(MonotonicTime now) {
  return impl_->Release(now);
}

Actions ClaimAttempt::Record(MonotonicTime now, RecordedOutcome outcome) {
  return impl_->Record(now, std::move(outcome));
}

void ClaimAttempt::LeaveUnresolved() {
  impl_->LeaveUnresolved();
}

Actions ClaimAttempt::Abandon(MonotonicTime now) {
  return impl_->Abandon(now);
}

std::optional<MonotonicTime> ClaimAttempt::NextTimeout() const {
  return impl_->NextTimeout();
}

bool ClaimAttempt::IsFinished() const {
  return impl_->state() == Impl::State::kFinished;
}

bool ClaimAttempt::IsOwned() const {
  return impl_->state() == Impl::State::kOwned;
}

}  // namespace flamingogauge
