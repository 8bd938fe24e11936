#include "libs/model/refusal.h"

namespace flamingogauge {

std::string_view ToString(RefusalKind kind) {
  switch (kind) {
    case RefusalKind::kInvalidRequest:
      return "invalid_request";
    case RefusalKind::kUnauthenticated:
      return "unauthenticated";
    case RefusalKind::kNotFound:
      return "not_found";
    case RefusalKind::kClaimUnresolved:
      return "claim_unresolved";
    case RefusalKind::kTooLarge:
      return "too_large";
    case RefusalKind::kKeyReused:
      return "key_reused";
    case RefusalKind::kQuarantined:
      return "quarantined";
    case RefusalKind::kWorkspaceLimit:
      return "workspace_limit";
    case RefusalKind::kCapacity:
      return "capacity";
    case RefusalKind::kDeadlineImpossible:
      return "deadline_impossible";
    case RefusalKind::kUnavailable:
      return "unavailable";
    case RefusalKind::kDraining:
      return "draining";
    case RefusalKind::kUpstreamError:
      return "upstream_error";
    case RefusalKind::kDeadlineExceeded:
      return "deadline_exceeded";
  }
  return "unknown";
}

}  // namespace flamingogauge
