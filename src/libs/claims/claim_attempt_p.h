#ifndef FLAMINGOGAUGE_LIBS_CLAIMS_CLAIM_ATTEMPT_P_H_
#define FLAMINGOGAUGE_LIBS_CLAIMS_CLAIM_ATTEMPT_P_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "libs/claims/claim_attempt.h"

namespace flamingogauge {

// The private part of ClaimAttempt; included by claim_attempt.cc only.
class ClaimAttempt::Impl {
 public:
  enum class State {
    kAcquiring,  // no verdict yet
    kOwned,
    kReleasing,
    kRecording,
    kFinished,
  };

  explicit Impl(ClaimAttemptOptions options)
      : options_(options), backoff_(options.initial_backoff) {}

  Actions Start(MonotonicTime now);
  Actions OnWritten(MonotonicTime now,
                    StoreWriteResult result,
                    std::uint64_t version);
  Actions OnRead(MonotonicTime now,
                 ClaimReadResult result,
                 const std::optional<VersionedClaim>& claim,
                 bool owner_alive);
  Actions OnTime(MonotonicTime now);
  Actions Release(MonotonicTime now);
  Actions Record(MonotonicTime now, RecordedOutcome outcome);
  void LeaveUnresolved();
  Actions Abandon(MonotonicTime now);
  std::optional<MonotonicTime> NextTimeout() const;

  State state() const { return state_; }

 private:
  ClaimRecord OwnRecord(ClaimState state) const;
  Actions Create();
  Actions Update(ClaimState state, std::uint64_t expected_version);
  Actions Read();
  void WaitBeforeNextRead(MonotonicTime now);

  Actions BecomeOwner(MonotonicTime now, std::uint64_t version);
  void ClearInDoubtWrites();
  Actions WaitForInDoubtWrite(MonotonicTime now);
  Actions Refuse(MonotonicTime now,
                 RefusalKind kind,
                 RunStatus status,
                 std::string message);
  Actions RefuseTimedOut(MonotonicTime now);
  Actions HandleOtherClaim(MonotonicTime now,
                           const VersionedClaim& claim,
                           bool owner_alive);

  Actions HandleAcquiringRead(MonotonicTime now,
                              ClaimReadResult result,
                              const std::optional<VersionedClaim>& claim,
                              bool owner_alive);
  Actions HandleSettlingRead(MonotonicTime now,
                             ClaimReadResult result,
                             const std::optional<VersionedClaim>& claim);
  Actions FinishSettling(bool confirmed);
  Actions EndReleaseReport(bool confirmed);
  Actions ReportOverdueRelease(MonotonicTime now);

  ClaimAttemptOptions options_;
  State state_ = State::kAcquiring;
  std::chrono::milliseconds backoff_;
  bool operation_outstanding_ = false;
  // A write of this attempt is outstanding or its response was lost, so that it
  // may be applied without notice.
  bool write_in_doubt_ = false;
  bool earlier_write_in_doubt_ = false;
  // An earlier attempt holds the claim, and its outcome is waited for.
  bool joined_ = false;
  bool answered_ = false;
  bool release_reported_ = true;
  std::uint64_t version_ = 0;
  MonotonicTime acquire_until_;
  RecordedOutcome outcome_;
  std::optional<MonotonicTime> next_read_;
  MonotonicTime release_report_at_;
  MonotonicTime retry_until_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_CLAIMS_CLAIM_ATTEMPT_P_H_
