#ifndef FLAMINGOGAUGE_LIBS_MODEL_REFUSAL_H_
#define FLAMINGOGAUGE_LIBS_MODEL_REFUSAL_H_

#include <chrono>
#include <string>
#include <string_view>

#include "libs/model/run_status.h"

namespace flamingogauge {

// Why a request gets no whole answer. The callers' plugin maps each kind to an
// HTTP status code.
enum class RefusalKind {
  kInvalidRequest,      // 400
  kUnauthenticated,     // 401
  kNotFound,            // 404
  kClaimUnresolved,     // 409
  kTooLarge,            // 413
  kKeyReused,           // 422: same key, other fingerprint
  kQuarantined,         // 422
  kWorkspaceLimit,      // 429
  kCapacity,            // 503: shed for lack of capacity
  kDeadlineImpossible,  // 503: even an idle upstream would be too slow
  kUnavailable,         // 503: no scheduler, upstream or store in reach
  kDraining,            // 503
  kUpstreamError,       // 502
  kDeadlineExceeded,    // 504
};

// The name of a kind, for example "capacity".
std::string_view ToString(RefusalKind kind);

// The answer to a request that is refused or could not be completed.
struct Refusal {
  RefusalKind kind = RefusalKind::kUnavailable;
  RunStatus run_status = RunStatus::kUnknown;
  // Human-readable, names the step and the peer.
  std::string message;
  // When to try again; zero means that trying again does not help.
  std::chrono::milliseconds retry_after{0};
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_MODEL_REFUSAL_H_
