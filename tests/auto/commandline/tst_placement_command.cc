#include <doctest/doctest.h>

#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "libs/commandline/client_command.h"
#include "libs/commandline/command_context.h"
#include "tests/auto/commandline/captured_run.h"
#include "tests/support/scripted_server.h"

namespace flamingogauge {
namespace {

using nlohmann::json;

std::string Answer(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) +
         " Status\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

constexpr char kSent[] =
    R"({"host":"h1","decided_by":"h2","view_age_ms":120,"routing_version":3,)"
    R"("routing_age_ms":200,"route":"chat","service":"s","workspace":"acme",)"
    R"("priority":1,"due_in_ms":900,"deadline_in_ms":4000,"limit_units":1,)"
    R"("outcome":"sent","upstream":"u1","ahead":0,"candidates":[)"
    R"({"upstream":"u1","data_centre":"d1","version":"v7","state":"chosen",)"
    R"("running":1,"places":4,"cost_s":0.03,"cost_parts_s":{"load":0.03}},)"
    R"({"upstream":"u2","data_centre":"d2","version":"v7","state":"held back",)"
    R"("running":0,"places":4}],"candidates_not_listed":5})";

struct Exchange {
  CommandOutcome outcome;
  // As the host received it.
  std::string request;
};

Exchange Ask(const std::string& response, std::vector<std::string> words) {
  Exchange exchange;
  {
    ScriptedServer host({[&](ScriptedConnection& connection) {
      connection.ReadRequest();
      exchange.request = connection.last_request();
      connection.Write(response);
    }});
    words.insert(words.begin(), {"placement", "explain"});
    words.push_back("--gateway_status_address=" + host.address());
    exchange.outcome = RunCaptured(words);
  }
  return exchange;
}

// Guards against an option that does not reach the host, and against a key or
// the operators' token that is shown or sent where it does not belong.
TEST_CASE("placement explain asks the host about the request") {
  const Exchange asked =
      Ask(Answer(200, kSent),
          {"POST", "/chat/a?b", "--host=api.test", "--key=secret-key",
           "--operator_token=secret-token", "--time_limit_ms=4000",
           "--prompt_tokens=1200", "--output-tokens=80",
           "--expected_output_tokens=40", "--prompt_prefix=a1:100,b2:1100",
           "--request_id=id-1"});
  CHECK(asked.outcome.status == kDone);
  const std::size_t end_of_head = asked.request.find("\r\n\r\n");
  REQUIRE(end_of_head != std::string::npos);
  const std::string head = asked.request.substr(0, end_of_head);
  CHECK(head.starts_with("POST /explain HTTP/1.1"));
  CHECK(head.find("secret") == std::string::npos);
  const json question =
      json::parse(asked.request.substr(end_of_head + 4), nullptr, false);
  CHECK(question == json({{"method", "POST"},
                          {"target", "/chat/a?b"},
                          {"host", "api.test"},
                          {"key", "secret-key"},
                          {"request_id", "id-1"},
                          {"time_limit_ms", 4000},
                          {"prompt_tokens", 1200},
                          {"output_tokens", 80},
                          {"expected_output_tokens", 40},
                          {"prompt_prefix", "a1:100,b2:1100"}}));
  CHECK(asked.outcome.output.find("secret") == std::string::npos);
}

// Guards against an answer that leaves out why, in the table.
TEST_CASE("placement explain shows the outcome and each candidate") {
  const std::string table =
      Ask(Answer(200, kSent), {"GET", "/chat/"}).outcome.output;
  for (const std::string& text : std::vector<std::string>{
           "sent to u1 now\n",
           "decided by h2 on the view of h1, which is 120 ms old\n",
           "route chat of document version 3, confirmed 200 ms ago\n",
           ("service s, workspace acme, priority 1, late in 900 ms, "
            "given up in 4000 ms, 1 units of the limit, 0 requests before "
            "it\n"),
           "UPSTREAM  DATA CENTRE  VERSION  STATE      RUNNING  COST S  PARTS",
           "u1        d1           v7       chosen     1 of 4   0.0300  load",
           "u2        d2           v7       held back  0 of 4   -",
           "and 5 more upstreams\n"}) {
    CAPTURE(text);
    CHECK(table.find(text) != std::string::npos);
  }
  const std::string refused =
      Ask(Answer(200, R"({"host":"h1","decided_by":"h1","route":"chat",)"
                      R"("service":"","workspace":"","outcome":"refused",)"
                      R"("status":429,"reason":"over","retry_after_ms":500})"),
          {"GET", "/chat/"})
          .outcome.output;
  CHECK(refused.starts_with("refused with 429: over; may return after 500 ms"));
  const std::string as_json =
      Ask(Answer(200, kSent), {"GET", "/chat/", "--output=json"})
          .outcome.output;
  CHECK(json::parse(as_json) == json::parse(kSent));
}

// Guards against a failure without its exit status or a suggested action.
TEST_CASE("placement explain reports what is wrong") {
  struct Row {
    std::string response;
    std::vector<std::string> words;
    int status;
    std::string error;
  };
  for (const Row& row : {
           Row{"", {"get", "/a"}, kUsage, "method: allowed: 1 to 16"},
           Row{"", {"GET", "a"}, kUsage, "target: allowed: a path"},
           Row{"", {"GET"}, kUsage, "takes 2 arguments, not 1"},
           Row{"",
               {"GET", "/a", "--prompt_tokens=-1"},
               kUsage,
               "--prompt_tokens must be a non-negative integer"},
           Row{"",
               {"GET", "/a", "--body=/nonexistent"},
               kUsage,
               "/nonexistent cannot be read"},
           Row{Answer(400, R"({"error":{"message":"workspace: allowed: x"}})"),
               {"GET", "/a"},
               kUsage,
               "workspace: allowed: x"},
           Row{Answer(404, ""), {"GET", "/a"}, kFailed, "status 404"},
           Row{Answer(200, "oops"), {"GET", "/a"}, kFailed, "oops"},
           Row{Answer(200, "{}"), {"GET", "/a"}, kDone, ""},
           Row{"", {"GET", "/a"}, kUnreachable, "check --gateway_status"},
       }) {
    CAPTURE(row.error);
    const Exchange asked = Ask(row.response, row.words);
    CAPTURE(asked.outcome.errors);
    CHECK(asked.outcome.status == row.status);
    CHECK(asked.outcome.errors.find(row.error) != std::string::npos);
  }
  const CommandOutcome without_address =
      RunCaptured({"placement", "explain", "GET", "/a"});
  CHECK(without_address.status == kUsage);
  CHECK(without_address.errors.find("--gateway_status_address") !=
        std::string::npos);
}

}  // namespace
}  // namespace flamingogauge
