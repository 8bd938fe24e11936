// Questions about requests, asked at the status address.
#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "tests/auto/gateway/gateway_host.h"
#include "tests/support/scripted_server.h"

namespace flamingogauge {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Responds to each request, on as many connections as needed.
std::vector<ScriptedServer::Script> AlwaysAnswer() {
  const ScriptedServer::Script script = [](ScriptedConnection& connection) {
    while (!connection.ReadRequest().empty()) {
      connection.Write(UpstreamAnswer("ok"));
    }
  };
  return std::vector<ScriptedServer::Script>(64, script);
}

// The question about what GatewayHost::SendRequest() sends.
json Question(const std::string& path) {
  return {{"method", "POST"}, {"host", "test"},       {"target", path},
          {"key", "key-1"},   {"request_id", "id-1"}, {"time_limit_ms", 4000}};
}

json Ask(GatewayHost& host, const json& question) {
  const TestAnswer answer = host.AskExplain(question.dump());
  REQUIRE(answer.status == 200);
  return json::parse(answer.body);
}

// The metrics that do not change with time alone.
std::string Counters(GatewayHost& host) {
  std::istringstream lines(host.GetStatus("/metrics").body);
  std::string counters;
  for (std::string line; std::getline(lines, line);) {
    if (line.find("routing_age") == std::string::npos &&
        line.find("process_") == std::string::npos) {
      counters += line + "\n";
    }
  }
  return counters;
}

std::shared_ptr<const RoutingTable> RoutingWithLimit() {
  auto table = std::make_shared<RoutingTable>(*TestRouting());
  table->workspaces[0].rate_per_second = 0.001;
  table->workspaces[0].burst = 3;
  return table;
}

// Guards against an answer that differs from what a request then gets.
TEST_CASE("a question and the request after it have the same outcome") {
  struct Row {
    std::string name;
    std::string path;
    milliseconds routing_age;
    int status;
    std::string reason;
  };
  for (const Row& row : {
           Row{"served", "/once/", milliseconds(0), 200, ""},
           Row{"no route", "/none/", milliseconds(0), 404, "no route"},
           Row{"an old document", "/once/", milliseconds(60000), 503,
               "keys cannot be confirmed"},
           Row{"no route in an old document", "/none/", milliseconds(60000),
               503, "no route in a document that is old"},
           Row{"no key needed", "/open/", milliseconds(60000), 200, ""},
       }) {
    CAPTURE(row.name);
    ScriptedServer upstream(AlwaysAnswer());
    GatewayHost host({upstream.address()});
    host.Publish(TestRouting(), row.routing_age);
    // The routing document is applied by another thread.
    std::this_thread::sleep_for(milliseconds(50));
    const json answer = Ask(host, Question(row.path));
    CAPTURE(answer.dump());
    CHECK(upstream.Requests().empty());
    CHECK(host.SendRequest("POST", row.path, "").status == row.status);
    if (row.status == 200) {
      CHECK(answer["outcome"] == "sent");
      CHECK(answer["upstream"] == "u0");
      CHECK(answer["route"] == row.path);
      CHECK(answer["service"] == "s");
    } else {
      CHECK(answer["outcome"] == "refused");
      CHECK(answer["status"] == row.status);
      CHECK(answer["reason"] == row.reason);
    }
  }
}

// Guards against a key that is not checked, and one that is shown.
TEST_CASE("a question names a key or a workspace") {
  ScriptedServer upstream(AlwaysAnswer());
  GatewayHost host({upstream.address()});
  json question = Question("/once/");
  const TestAnswer answer = host.AskExplain(question.dump());
  CHECK(answer.body.find("key-1") == std::string::npos);
  CHECK(json::parse(answer.body)["workspace"] == "acme");
  question["key"] = "key-2";
  CHECK(Ask(host, question)["status"] == 401);
  question.erase("key");
  CHECK(Ask(host, question)["status"] == 401);
  question["workspace"] = "acme";
  CHECK(Ask(host, question)["outcome"] == "sent");
  question["workspace"] = "other";
  CHECK(host.AskExplain(question.dump()).status == 400);
}

// Guards against questions that spend a limit, leave a request behind, or are
// counted as requests.
TEST_CASE("questions change nothing") {
  ScriptedServer upstream(AlwaysAnswer());
  GatewayHost host({upstream.address()});
  host.Publish(RoutingWithLimit());
  std::this_thread::sleep_for(milliseconds(50));
  // A new process has half of the burst.
  REQUIRE(host.SendRequest("POST", "/once/").status == 200);
  const std::string state = host.GetStatus("/state").body;
  const std::string counters = Counters(host);
  for (int n = 0; n < 50; ++n) {
    const json answer = Ask(host, Question("/once/"));
    CHECK(answer["outcome"] == "sent");
    CHECK(answer["limit_units"] == 1);
  }
  CHECK(host.GetStatus("/state").body == state);
  CHECK(Counters(host) == counters);
  CHECK(upstream.Requests().size() == 1);
  CHECK(host.SendRequest("POST", "/once/").status == 200);
  const json refused = Ask(host, Question("/once/"));
  CHECK(refused.value("status", 0) == 429);
  CHECK(refused.value("retry_after_ms", 0) > 0);
  CHECK(host.SendRequest("POST", "/once/").status == 429);
}

// Guards against an answer without the reason why an upstream is not chosen.
TEST_CASE("an answer lists why each upstream is chosen or not") {
  ScriptedServer near(AlwaysAnswer());
  ScriptedServer far(AlwaysAnswer());
  GatewayHost host({near.address(), far.address()});
  const json answer = Ask(host, Question("/once/"));
  CAPTURE(answer.dump());
  CHECK(answer["host"] == "h1");
  CHECK(answer["decided_by"] == "h1");
  CHECK(answer["routing_version"] == 3);
  REQUIRE(answer["candidates"].size() == 2);
  CHECK(answer["candidates"][0]["upstream"] == "u0");
  CHECK(answer["candidates"][0]["state"] == "chosen");
  CHECK(answer["candidates"][1]["upstream"] == "u1");
  CHECK(answer["candidates"][1]["state"] == "dearer");
  CHECK(answer["candidates"][1]["cost_s"] > answer["candidates"][0]["cost_s"]);
  CHECK(answer["candidates"][1]["cost_parts_s"]["distance"] > 0);
}

// Guards against a host that ends, or answers for something else, on a
// malformed question.
TEST_CASE("a malformed question is refused") {
  GatewayHost host({});
  for (const std::string& text : std::vector<std::string>{
           "", "{", "[1]", "{}", R"({"method":"GET","target":"a"})",
           std::string(60000, '[')}) {
    CAPTURE(text.substr(0, 50));
    const TestAnswer answer = host.AskExplain(text);
    CHECK(answer.status == 400);
    CHECK(json::parse(answer.body)["error"]["message"] != "");
  }
  CHECK(host.AskExplain(std::string(70000, ' ')).status == 413);
  CHECK(host.GetStatus("/explain").status == 405);
  CHECK(host.ReadyStatus() == 503);
}

}  // namespace
}  // namespace flamingogauge
