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

// Writes the record if the key does not exist.
struct CreateClaimAction {
  ClaimRecord record;
};

// Writes the record if the key has the expected version.
struct UpdateClaimAction {
  ClaimRecord record;
  std::uint64_t expected_version = 0;
};

struct ReadClaimAction {};

// Reports the verdict to the caller of ClaimService::Acquire(); returned once.
struct ReportVerdictAction {
  ClaimAnswer answer;
};

// Reports the end of a release; returned once after each call of Release().
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
  // Deadline of the request.
  MonotonicTime deadline;
  // How long the store may take to determine the owner of the key. After this
  // time it counts as unreachable. Does not apply while an earlier attempt is
  // waited for.
  std::chrono::milliseconds acquire_time_limit{2000};
  // How long an owner may dispatch the request. Far below the retention of
  // claims, so that a host that was paused cannot dispatch under a claim that
  // has been deleted.
  std::chrono::seconds dispatch_window{3600};
  std::chrono::milliseconds initial_backoff{50};
  std::chrono::milliseconds max_backoff{1000};
  // Time after which a release without confirmation is reported as unconfirmed;
  // the write is retried beyond this time.
  std::chrono::milliseconds release_time_limit{2000};
  // How long writes are retried after the caller has been answered.
  std::chrono::minutes background_retry_limit{10};
};

// The state machine of the claim of one attempt to execute a non-idempotent
// request, from the first write to the store until the last one has completed.
// At most one store operation is outstanding at a time. Deterministic: each
// function returns the actions that have to be executed, in order.
class ClaimAttempt {
 public:
  using Actions = std::vector<ClaimAction>;

  explicit ClaimAttempt(ClaimAttemptOptions options);
  ClaimAttempt(const ClaimAttempt&) = delete;
  ClaimAttempt& operator=(const ClaimAttempt&) = delete;
  ~ClaimAttempt();

  // Starts the attempt by creating the claim record.
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

  // Handles expired timeouts; to be called at NextTimeout().
  Actions OnTime(MonotonicTime now);

  // The owner executed nothing and releases the claim.
  Actions Release(MonotonicTime now);

  // The owner's request was executed with this outcome.
  Actions Record(MonotonicTime now, RecordedOutcome outcome);

  // The owner dispatched the request and does not know the outcome. The record
  // stays claimed, so that no attempt executes the request again.
  void LeaveUnresolved();

  // The caller no longer waits for the verdict. A claim that may have been
  // written is released.
  Actions Abandon(MonotonicTime now);

  // When OnTime() has to be called next, if at all.
  std::optional<MonotonicTime> NextTimeout() const;

  // True when no action and no result is outstanding.
  bool IsFinished() const;

  // True while this attempt, and no other, may dispatch the request.
  bool IsOwned() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_CLAIMS_CLAIM_ATTEMPT_H_
