#include <doctest/doctest.h>

#include <string>

#include "plugins/callers/caller_errors.h"

namespace flamingogauge {
namespace {

// Guards against a refusal whose status, run status or retry delay differs from
// the documented one, because callers use them to decide whether to retry.
TEST_CASE("refusals have the documented status and body") {
  struct Row {
    RefusalKind kind;
    int status;
  };
  for (const Row& row :
       {Row{RefusalKind::kInvalidRequest, 400},
        Row{RefusalKind::kUnauthenticated, 401},
        Row{RefusalKind::kNotFound, 404},
        Row{RefusalKind::kClaimUnresolved, 409},
        Row{RefusalKind::kTooLarge, 413}, Row{RefusalKind::kKeyReused, 422},
        Row{RefusalKind::kQuarantined, 422},
        Row{RefusalKind::kWorkspaceLimit, 429},
        Row{RefusalKind::kUpstreamError, 502}, Row{RefusalKind::kCapacity, 503},
        Row{RefusalKind::kDeadlineImpossible, 503},
        Row{RefusalKind::kUnavailable, 503}, Row{RefusalKind::kDraining, 503},
        Row{RefusalKind::kDeadlineExceeded, 504}}) {
    CHECK(StatusOf(row.kind) == row.status);
  }
  const Refusal refusal{.kind = RefusalKind::kCapacity,
                        .run_status = RunStatus::kNotRun,
                        .message = "a \"quoted\" \xff byte",
                        .retry_after = std::chrono::milliseconds(1200)};
  CHECK(FormatRefusal(refusal, "r-1") ==
        "{\"error\":{\"type\":\"capacity\",\"message\":\"a \\\"quoted\\\" "
        "\xEF\xBF\xBD byte\",\"run_status\":\"not-run\",\"request_id\":\"r-1\","
        "\"retry_after_ms\":1200}}");
  const auto headers = RefusalHeaders(refusal, "r-1");
  REQUIRE(headers.size() == 3);
  CHECK(headers[0].value == "not-run");
  CHECK(headers[2].value == "2");
}

}  // namespace
}  // namespace flamingogauge
