#include "plugins/callers/caller_errors.h"

#include <chrono>
#include <nlohmann/json.hpp>

namespace flamingogauge {
int StatusOf(RefusalKind kind) {
  switch (kind) {
    case RefusalKind::kInvalidRequest:
      return 400;
    case RefusalKind::kUnauthenticated:
      return 401;
    case RefusalKind::kNotFound:
      return 404;
    case RefusalKind::kClaimUnresolved:
      return 409;
    case RefusalKind::kTooLarge:
      return 413;
    case RefusalKind::kKeyReused:
    case RefusalKind::kQuarantined:
      return 422;
    case RefusalKind::kWorkspaceLimit:
      return 429;
    case RefusalKind::kUpstreamError:
      return 502;
    case RefusalKind::kDeadlineExceeded:
      return 504;
    case RefusalKind::kCapacity:
    case RefusalKind::kDeadlineImpossible:
    case RefusalKind::kUnavailable:
    case RefusalKind::kDraining:
      return 503;
  }
  return 503;
}

std::string FormatRefusal(const Refusal& refusal,
                          const std::string& request_id) {
  nlohmann::ordered_json error = {{"type", ToString(refusal.kind)},
                                  {"message", refusal.message},
                                  {"run_status", ToString(refusal.run_status)}};
  if (!request_id.empty()) {
    error["request_id"] = request_id;
  }
  error["retry_after_ms"] = refusal.retry_after.count();
  const nlohmann::ordered_json body = {{"error", error}};
  // The message may contain bytes from a caller or an upstream that are not
  // valid UTF-8.
  return body.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace);
}

std::vector<HttpHeader> RefusalHeaders(const Refusal& refusal,
                                       const std::string& request_id) {
  std::vector<HttpHeader> headers = {
      {.name = "Flamingogauge-Run-Status",
       .value = std::string(ToString(refusal.run_status))}};
  if (!request_id.empty()) {
    headers.push_back({.name = "X-Request-Id", .value = request_id});
  }
  if (refusal.retry_after.count() > 0) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(refusal.retry_after);
    headers.push_back(
        {.name = "Retry-After", .value = std::to_string(seconds.count())});
  }
  return headers;
}

}  // namespace flamingogauge
