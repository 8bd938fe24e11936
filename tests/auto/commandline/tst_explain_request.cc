#include <doctest/doctest.h>

#include <sstream>
#include <string>

#include "libs/commandline/explain_request.h"

namespace flamingogauge {
namespace {

// Guards against lines that are missing, out of order or of other requests.
TEST_CASE("log lines of one request are listed chronologically") {
  std::istringstream logs(
      "h2 {\"event\":\"request.ended\",\"unix_ms\":1250,\"request\":\"a1\","
      "\"status\":502,\"reason\":\"Connection reset by peer\"}\n"
      "not a structured line a1\n"
      "h2 {\"event\":\"request.sent\",\"unix_ms\":1200,\"request\":\"a1\","
      "\"upstream\":\"u7\",\"send\":1}\n"
      "h2 {\"event\":\"request.sent\",\"unix_ms\":1100,\"request\":\"b2\","
      "\"reason\":\"a1\"}\n"
      "h2 {\"event\":\"request.sent\",\"unix_ms\":1100,\"request\":\"a1\n");
  CHECK(ExplainRequest(logs, "a1") ==
        "+0 ms  h2 request.sent  send=1  upstream=u7\n"
        "+50 ms  h2 request.ended  reason=Connection reset by peer  "
        "status=502\n");
}

// Guards against output for a request that is not in the logs.
TEST_CASE("a request without log lines yields no output") {
  std::istringstream logs("{\"event\":\"process.started\",\"unix_ms\":1}\n");
  CHECK(ExplainRequest(logs, "a1").empty());
}

}  // namespace
}  // namespace flamingogauge
