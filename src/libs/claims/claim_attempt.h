#ifndef FLAMINGOGAUGE_LIBS_CLAIMS_CLAIM_ATTEMPT_H_
#define FLAMINGOGAUGE_LIBS_CLAIMS_CLAIM_ATTEMPT_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "libs/claims/claim_record.h"
#include "libs/kernel/time.h"
#include "libs/services/claim_service.h"
#include "libs/services/store_write_result.h"

namespace flamingogauge {

enum class ClaimReadResult { kFound, kAbsent, kUnavailable };

// Writes the record if the key is absent.
struct CreateClaimAction {
  ClaimRecord record;
};

// Writes the record if the key has the expected version.
struct UpdateClaimAction {
  ClaimRecord record;
  std::uint64_t expected_version = 0;
};

struct ReadClaimAction {};

// The verdict for the caller of ClaimService::Acquire; given once.
struct ReportVerdictAction {
  ClaimAnswer answer;
};

// The end of a release; given once after Release.
struct ReleaseEndedAction {
  bool confirmed = false;
};

using ClaimAction = std::variant<CreateClaimAction,
                                 UpdateClaimAction,
                                 ReadClaimAction,
                                 ReportVerdictAction,
                                 ReleaseEndedAction>;

struct ClaimAttemptOptions {
  ClaimToken token;
  Incarnation owner;
  Fingerprint fingerprint;
  std::uint64_t epoch = 0;
  // When the request's time is over.
  MonotonicTime deadline;
  // How long the store may take to decide who owns the key, unless an earlier
  // attempt is waited for. Beyond it the store counts as out of reach.
  std::chrono::milliseconds acquire_time_limit{2000};
  // How long an owner may dispatch; far below the retention of claims, so that
  // a host that was paused cannot dispatch under a claim that has been deleted.
  std::chrono::seconds dispatch_window{3600};
  std::chrono::milliseconds first_backoff{50};
  std::chrono::milliseconds last_backoff{1000};
  // How long a release may wait for confirmation before it is reported as
  // unconfirmed; the write itself is tried on.
  std::chrono::milliseconds release_time_limit{2000};
  // How long writes are tried on after the caller has its answer.
  std::chrono::minutes settle_time_limit{10};
};

// The life of one attempt of a non-idempotent request from its first write to
// the store until nothing remains to be written. At most one store operation
// is outstanding at a time. Deterministic: each function returns the actions to
// carry out, in order.
class ClaimAttempt {
 public:
  using Actions = std::vector<ClaimAction>;

  explicit ClaimAttempt(ClaimAttemptOptions options);
  ClaimAttempt(const ClaimAttempt&) = delete;
  ClaimAttempt& operator=(const ClaimAttempt&) = delete;
  ~ClaimAttempt();

  // Starts the attempt with a create.
  Actions Start(MonotonicTime now);

  // The outstanding create or update ended. `version` is the object's new
  // version for kApplied.
  Actions OnWritten(MonotonicTime now,
                    StoreWriteResult result,
                    std::uint64_t version);

  // The outstanding read ended. `claim` is set for kFound. `owner_alive` tells
  // whether the record's owner may still be running.
  Actions OnRead(MonotonicTime now,
                 ClaimReadResult result,
                 const std::optional<VersionedClaim>& claim,
                 bool owner_alive);

  // Carries out what is due; call at NextTimeout.
  Actions OnTime(MonotonicTime now);

  // The owner executed nothing and gives the claim back.
  Actions Release(MonotonicTime now);

  // The owner's request was executed with this outcome.
  Actions Record(MonotonicTime now, RecordedOutcome outcome);

  // The owner dispatched and does not know the outcome. The record stays
  // claimed, so that no attempt runs the request again.
  void LeaveUnresolved();

  // Nobody waits for the verdict any more. A claim that may have been written
  // is released.
  Actions Abandon(MonotonicTime now);

  // When OnTime is to be called next, if at all.
  std::optional<MonotonicTime> NextTimeout() const;

  // True when nothing remains to be done.
  bool IsFinished() const;

  // True while this attempt alone may dispatch.
  bool IsOwned() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_CLAIMS_CLAIM_ATTEMPT_H_
