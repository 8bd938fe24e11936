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
  backoff_ = std::min(backoff_ * 2, options_.last_backoff);
}

Actions ClaimAttempt::Impl::Start(MonotonicTime now) {
  acquire_until_ =
      std::min(options_.deadline, now + options_.acquire_time_limit);
  return Create();
}

Actions ClaimAttempt::Impl::BecomeOwner(MonotonicTime now,
                                        std::uint64_t version) {
  version_ = version;
  ClearDoubt();
  next_read_.reset();
  if (answered_) {
    // The caller was refused while the write was in doubt; give the key back.
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
  // A claim of this attempt may still appear in the store. It is looked for
  // and released, because a key that stays claimed can never run again.
  settle_until_ = now + options_.settle_time_limit;
  if (!operation_outstanding_) {
    WaitBeforeNextRead(now);
  }
  return actions;
}

Actions ClaimAttempt::Impl::RefuseOverdue(MonotonicTime now) {
  if (joined_) {
    return Refuse(now, RefusalKind::kClaimUnresolved, RunStatus::kUnknown,
                  "claim: an earlier attempt has no outcome yet");
  }
  return Refuse(now, RefusalKind::kUnavailable, RunStatus::kAttemptNotRun,
                "claim (platform store): the claim could not be written or "
                "read in time");
}

void ClaimAttempt::Impl::ClearDoubt() {
  write_in_doubt_ = false;
  earlier_write_in_doubt_ = false;
}

Actions ClaimAttempt::Impl::WaitToSettle(MonotonicTime now) {
  if (now >= settle_until_) {
    state_ = State::kFinished;
    return {};
  }
  WaitBeforeNextRead(now);
  return {};
}

Actions ClaimAttempt::Impl::JoinOther(MonotonicTime now,
                                      const VersionedClaim& claim,
                                      bool owner_alive) {
  if (claim.record.state == ClaimState::kReleased) {
    if (answered_) {
      // An update of ours that expects this version may still be applied.
      return WaitToSettle(now);
    }
    if (joined_) {
      // The attempt that was waited for executed nothing, and its caller may
      // have heard so. Running now would make that answer false.
      ClearDoubt();
      return Refuse(now, RefusalKind::kUnavailable, RunStatus::kNotRun,
                    "claim: the earlier attempt was refused and not run");
    }
    return Update(ClaimState::kClaimed, claim.version);
  }
  // Another attempt's claim stands under the key, so no write of ours that
  // needs the key absent or an older version can be applied any more.
  ClearDoubt();
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

Actions ClaimAttempt::Impl::AcquireRead(
    MonotonicTime now,
    ClaimReadResult result,
    const std::optional<VersionedClaim>& claim,
    bool owner_alive) {
  if (result == ClaimReadResult::kFound) {
    if (claim->record.token != options_.token) {
      return JoinOther(now, *claim, owner_alive);
    }
    if (claim->record.state == ClaimState::kReleased) {
      // Only an abandoned attempt releases before it owns.
      ClearDoubt();
      state_ = State::kFinished;
      return {};
    }
    return BecomeOwner(now, claim->version);
  }
  if (answered_) {
    return WaitToSettle(now);
  }
  if (now >= acquire_until_) {
    return RefuseOverdue(now);
  }
  if (result == ClaimReadResult::kAbsent) {
    // The lost create may still be on its way. Creating again with the same
    // token is safe: at most one of them is applied.
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

Actions ClaimAttempt::Impl::Settled(bool confirmed) {
  state_ = State::kFinished;
  ClearDoubt();
  next_read_.reset();
  return EndReleaseReport(confirmed);
}

Actions ClaimAttempt::Impl::SettleRead(
    MonotonicTime now,
    ClaimReadResult result,
    const std::optional<VersionedClaim>& claim) {
  const ClaimState wanted =
      state_ == State::kReleasing ? ClaimState::kReleased : ClaimState::kDone;
  if (result == ClaimReadResult::kFound) {
    if (claim->record.token != options_.token) {
      // Our release was applied and another attempt claimed the key since, so
      // nothing can be said about the key.
      CHECK_INVARIANT("I5", wanted == ClaimState::kReleased,
                      "record outcome: claim of " + ToString(options_.owner) +
                          " was taken by " + ToString(claim->record.owner));
      return Settled(false);
    }
    if (claim->record.state == wanted) {
      return Settled(true);
    }
    if (now < settle_until_) {
      return Update(wanted, claim->version);
    }
    return Settled(false);
  }
  // Absent means that the retention has passed.
  if (result == ClaimReadResult::kAbsent || now >= settle_until_) {
    return Settled(false);
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
      return AcquireRead(now, result, claim, owner_alive);
    case State::kReleasing:
    case State::kRecording:
      return SettleRead(now, result, claim);
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
                                       : Settled(true);
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
      return WaitToSettle(now);
    }
    if (now >= acquire_until_) {
      return RefuseOverdue(now);
    }
    WaitBeforeNextRead(now);
    return {};
  }
  if (result == StoreWriteResult::kConflict) {
    return Read();
  }
  if (now >= settle_until_) {
    return Settled(false);
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
    Actions refused = RefuseOverdue(now);
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
  CHECK_INVARIANT("I5", state_ == State::kOwned,
                  "release claim of " + ToString(options_.owner));
  state_ = State::kReleasing;
  release_reported_ = false;
  release_report_at_ = now + options_.release_time_limit;
  settle_until_ = now + options_.settle_time_limit;
  backoff_ = options_.first_backoff;
  return Update(ClaimState::kReleased, version_);
}

Actions ClaimAttempt::Impl::Record(MonotonicTime now, RecordedOutcome outcome) {
  CHECK_INVARIANT("I5", state_ == State::kOwned,
                  "record outcome of " + ToString(options_.owner));
  state_ = State::kRecording;
  outcome_ = std::move(outcome);
  settle_until_ = now + options_.settle_time_limit;
  backoff_ = options_.first_backoff;
  return Update(ClaimState::kDone, version_);
}

void ClaimAttempt::Impl::LeaveUnresolved() {
  CHECK_INVARIANT("I5", state_ == State::kOwned,
                  "leave claim of " + ToString(options_.owner));
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
  settle_until_ = now + options_.settle_time_limit;
  if (!operation_outstanding_ && !next_read_) {
    WaitBeforeNextRead(now);
  }
  return {};
}

std::optional<MonotonicTime> ClaimAttempt::Impl::NextTimeout() const {
  std::optional<MonotonicTime> wake = next_read_;
  const auto include = [&wake](MonotonicTime candidate) {
    wake = wake ? std::min(*wake, candidate) : candidate;
  };
  if (state_ == State::kAcquiring && !answered_) {
    include(acquire_until_);
  }
  if (state_ == State::kReleasing && !release_reported_) {
    include(release_report_at_);
  }
  return state_ == State::kFinished ? std::nullopt : wake;
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
