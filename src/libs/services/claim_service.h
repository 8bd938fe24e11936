#ifndef FLAMINGOGAUGE_LIBS_SERVICES_CLAIM_SERVICE_H_
#define FLAMINGOGAUGE_LIBS_SERVICES_CLAIM_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "libs/kernel/error.h"
#include "libs/kernel/time.h"
#include "libs/model/fingerprint.h"
#include "libs/model/ids.h"
#include "libs/model/refusal.h"

namespace flamingogauge {

struct ClaimRequest {
  RequestId id;
  WorkspaceId workspace;
  ServiceId service;
  std::string idempotency_key;
  Fingerprint fingerprint;
  std::chrono::milliseconds time_left{0};
};

// The recorded answer of a non-idempotent request.
struct RecordedOutcome {
  int status = 0;
  std::string content_type;
  std::string body;
  // False when the answer was too large to keep.
  bool body_kept = true;
};

enum class ClaimVerdict {
  kOwned,     // this request alone may be dispatched
  kRecorded,  // an earlier attempt was executed; `outcome` is its answer
  kRefused,   // `refusal` is the answer to the caller
};

struct ClaimAnswer {
  ClaimVerdict verdict = ClaimVerdict::kRefused;
  RecordedOutcome outcome;
  Refusal refusal;
  // For kOwned: until when the request may be dispatched.
  MonotonicTime dispatch_until;
};

// Makes a non-idempotent request run at most once. Safe from any thread;
// callbacks run on the claims thread and must not block.
class ClaimService {
 public:
  static constexpr std::string_view kServiceName = "claims.service";

  using AcquireCallback = std::function<void(ClaimAnswer)>;
  // True when the release is confirmed, so that "not run" may be said.
  using ReleaseCallback = std::function<void(bool confirmed)>;

  virtual ~ClaimService() = default;

  // Acquires the claim or joins an earlier attempt with the same key.
  virtual void Acquire(ClaimRequest request, AcquireCallback callback) = 0;

  // Gives up waiting for the outcome of an earlier attempt.
  virtual void Abandon(RequestId id) = 0;

  // Releases an owned claim under which nothing was executed.
  virtual void Release(RequestId id, ReleaseCallback callback) = 0;

  // Records the outcome of an owned claim; retried until it is confirmed.
  virtual void Record(RequestId id, RecordedOutcome outcome) = 0;

  // Leaves an owned claim unresolved after a dispatch without an answer.
  virtual void LeaveUnresolved(RequestId id) = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_SERVICES_CLAIM_SERVICE_H_
