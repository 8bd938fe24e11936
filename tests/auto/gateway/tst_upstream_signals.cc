// What upstreams ask of a host in the fields of their responses.
#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "tests/auto/gateway/gateway_host.h"
#include "tests/support/scripted_server.h"
#include "tests/support/temporary_log.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

// Adds a header field to a response.
std::string WithField(const std::string& response, const std::string& field) {
  const std::size_t end_of_status = response.find("\r\n") + 2;
  return response.substr(0, end_of_status) + field + "\r\n" +
         response.substr(end_of_status);
}

// Responds to each request with `bytes`, on as many connections as needed.
std::vector<ScriptedServer::Script> Always(const std::string& bytes) {
  const ScriptedServer::Script script =
      [bytes](ScriptedConnection& connection) {
        while (!connection.ReadRequest().empty()) {
          connection.Write(bytes);
        }
      };
  return std::vector<ScriptedServer::Script>(128, script);
}

const std::string kNotRun =
    "HTTP/1.1 503 Service Unavailable\r\nReq-Id: id-1\r\nNot-Run: 1\r\n"
    "Content-Length: 0\r\n\r\n";
const std::string kFailure =
    "HTTP/1.1 500 Internal Server Error\r\nReq-Id: id-1\r\nSeal: s9\r\n"
    "Content-Length: 4\r\n\r\noops";

// Guards against sending requests to an upstream that has said that it leaves.
TEST_CASE("an upstream that leaves gets no further requests") {
  struct Row {
    std::string name;
    std::string response;
    std::string path;
  };
  for (const Row& row : {
           Row{"in a success", UpstreamAnswer("ok"), "/once/"},
           Row{"in a failure", kFailure, "/once/"},
           Row{"in a refusal", kNotRun, "/again/"},
           Row{"in a stream", UpstreamAnswer("id: 1\ndata: a\n\n"), "/resume/"},
       }) {
    CAPTURE(row.name);
    ScriptedServer leaving(Always(WithField(row.response, "Leaving: 1")));
    ScriptedServer other(Always(UpstreamAnswer("ok")));
    GatewayHost host({leaving.address(), other.address()});
    for (int n = 0; n < 6; ++n) {
      host.SendRequest("POST", row.path, "body");
    }
    CHECK(leaving.Requests().size() == 1);
    CHECK(other.Requests().size() >= 5);
  }
}

// Guards against refusing requests for ever because the last upstream has said
// that it leaves, where it should be refused at once.
TEST_CASE("a request is refused if all upstreams leave") {
  ScriptedServer leaving(Always(WithField(UpstreamAnswer("ok"), "Leaving: 1")));
  GatewayHost host({leaving.address()});
  CHECK(host.SendRequest("POST", "/once/", "body").status == 200);
  CHECK(host.SendRequest("POST", "/once/", "body").status == 503);
  CHECK(leaving.Requests().size() == 1);
}

// Guards against a limit that no log line explains afterwards, and against a
// line for each response.
TEST_CASE("a stated rate limit is logged when it begins, changes and ends") {
  const std::string plain = UpstreamAnswer("ok");
  const std::vector<std::string> responses = {
      plain,
      WithField(plain, "Rate-Limit: 2"),
      WithField(plain, "Rate-Limit: 2"),
      WithField(plain, "Rate-Limit: 1.5"),
      WithField(plain, "Rate-Limit: many"),
      plain};
  const TemporaryLog log;
  {
    std::atomic<std::size_t> next = 0;
    const ScriptedServer::Script script =
        [&responses, &next](ScriptedConnection& connection) {
          while (!connection.ReadRequest().empty()) {
            connection.Write(responses.at(next++));
          }
        };
    ScriptedServer upstream(
        std::vector<ScriptedServer::Script>(responses.size(), script));
    GatewayHost host({upstream.address()}, true, {.log_path = log.path()});
    for (std::size_t n = 0; n < responses.size(); ++n) {
      REQUIRE(host.SendRequest("GET", "/again/").status == 200);
    }
  }
  CHECK(log.Count("upstream.rate_limit") == 3);
  CHECK(log.Count("\"state\":\"stated\",\"requests_per_second\":\"2\"") == 1);
  CHECK(log.Count("\"requests_per_second\":\"1.5\"") == 1);
  CHECK(log.Count("\"state\":\"ended\"") == 1);
}

// Guards against sending requests to an upstream that has asked for a pause,
// and against avoiding it for longer.
TEST_CASE("an upstream that turns requests away is left alone for a while") {
  struct Row {
    std::string retry_after;
    milliseconds pause;
  };
  for (const Row& row : {
           Row{"1", milliseconds(1000)},
           Row{"0.8", milliseconds(800)},
           Row{"0", milliseconds(0)},
           Row{"-5", milliseconds(0)},
           Row{"soon", milliseconds(0)},
           Row{"Fri, 04 Dec 2026 23:37:05 GMT", milliseconds(0)},
       }) {
    CAPTURE(row.retry_after);
    ScriptedServer busy(
        Always(WithField(kNotRun, "Retry-After: " + row.retry_after)));
    ScriptedServer other(Always(UpstreamAnswer("ok")));
    GatewayHost host({busy.address(), other.address()});
    const auto start = std::chrono::steady_clock::now();
    CHECK(host.SendRequest("POST", "/again/", "body").status == 200);
    CHECK(busy.Requests().size() == 1);
    while (std::chrono::steady_clock::now() - start < row.pause * 9 / 10) {
      CHECK(host.SendRequest("POST", "/again/", "body").status == 200);
      std::this_thread::sleep_for(milliseconds(20));
    }
    CHECK(busy.Requests().size() == 1);
    std::this_thread::sleep_for(row.pause / 5);
    CHECK(host.SendRequest("POST", "/again/", "body").status == 200);
    CHECK(busy.Requests().size() == 2);
  }
}

}  // namespace
}  // namespace flamingogauge
