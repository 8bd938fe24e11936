#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "tests/auto/gateway/gateway_host.h"
#include "tests/support/scripted_server.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

// An upstream that records the latest request and responds to each.
class RecordingUpstream {
 public:
  RecordingUpstream()
      : server_(std::vector<ScriptedServer::Script>(
            kConnections,
            [this](ScriptedConnection& connection) {
              while (!connection.ReadRequest().empty()) {
                request_ = connection.last_request();
                connection.Write(UpstreamAnswer("ok"));
              }
            })) {}

  const std::string& address() const { return server_.address(); }
  const std::string& request() const { return request_; }

 private:
  // Requests with the same id get a connection each.
  static constexpr std::size_t kConnections = 8;

  std::string request_;
  ScriptedServer server_;
};

// Guards against requests that are modified in transit, forged headers that
// only hosts may set, and keys that are forwarded to upstreams.
TEST_CASE(
    "a request reaches the upstream unchanged except for the host's headers") {
  RecordingUpstream upstream;
  GatewayHost host({upstream.address()});
  TestConnection connection(host.address());
  connection.Send(
      "PATCH /once/a%20b?x=1&x=2&&y HTTP/1.1\r\nHost: test\r\nReq-Id: id-1\r\n"
      "key: key-1\r\nLimit-Ms: 4000\r\nWorkspace: forged\r\nReserve: r\r\n"
      "For-Upstream: forged\r\nX-Custom:  v1\r\nX-Custom: v2\r\n"
      "Connection: X-Private\r\nX-Private: p\r\n"
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  REQUIRE(connection.ReadAnswer().status == 200);
  const std::string& request = upstream.request();
  CHECK(request.starts_with("PATCH /once/a%20b?x=1&x=2&&y HTTP/1.1\r\n"));
  CHECK(request.ends_with("\r\n\r\nabcde"));
  struct Row {
    std::string text;
    bool present;
  };
  for (const Row& row :
       {Row{"Host: test\r\n", true}, Row{"Req-Id: id-1\r\n", true},
        Row{"X-Custom: v1\r\nX-Custom: v2\r\n", true},
        Row{"Workspace: acme\r\n", true}, Row{"For-Upstream: u0\r\n", true},
        Row{"Content-Length: 5\r\n", true}, Row{"forged", false},
        Row{"key-1", false}, Row{"Reserve", false}, Row{"X-Private", false},
        Row{"chunked", false}, Row{"Limit-Ms: 4000", false}}) {
    CAPTURE(row.text);
    CHECK((request.find(row.text) != std::string::npos) == row.present);
  }
  const std::size_t limit = request.find("Limit-Ms: ");
  REQUIRE(limit != std::string::npos);
  CHECK(std::stoi(request.substr(limit + 10)) <= 4000);
  CHECK(std::stoi(request.substr(limit + 10)) > 3000);
}

// Guards against serving unauthorized requests, and against a definite refusal
// (401 or 404) by a host whose routing document is missing or out of date.
TEST_CASE("routes and keys decide whether a request is served") {
  struct Row {
    std::string name;
    std::string path;
    std::string key;
    milliseconds age;
    bool has_document;
    int status;
  };
  const milliseconds fresh(0);
  for (const Row& row : {
           Row{"known", "/once/x", "key-1", fresh, true, 200},
           Row{"no route", "/none/x", "key-1", fresh, true, 404},
           Row{"no route, old", "/none/x", "key-1", milliseconds(3500), true,
               503},
           Row{"unknown key", "/once/x", "key-2", fresh, true, 401},
           Row{"unknown key, old", "/once/x", "key-2", milliseconds(3500), true,
               503},
           Row{"keys too old", "/once/x", "key-1", milliseconds(5000), true,
               503},
           Row{"anonymous", "/open/x", "key-2", milliseconds(60000), true, 200},
           Row{"no document", "/once/x", "key-1", fresh, false, 503},
       }) {
    CAPTURE(row.name);
    RecordingUpstream upstream;
    GatewayHost host({upstream.address()});
    host.Publish(row.has_document ? TestRouting() : nullptr, row.age);
    TestConnection connection(host.address());
    connection.Send(FormatTestRequest(
        "GET", row.path, {"Req-Id: id-1", "Key: " + row.key, "Limit-Ms: 4000"},
        ""));
    const TestAnswer answer = connection.ReadAnswer();
    CHECK(answer.status == row.status);
    CHECK(answer.headers.contains("retry-after") == (row.status == 503));
    CHECK(upstream.request().empty() == (row.status != 200));
  }
}

// Guards against overflow of the time limit: this request or those of later
// callers would be refused as late.
TEST_CASE("a caller may state any time limit") {
  RecordingUpstream upstream;
  GatewayHost host({upstream.address()});
  for (const char* limit :
       {"18446744073709551615", "9223372036854775807", "4000", "none", ""}) {
    CAPTURE(limit);
    TestConnection connection(host.address());
    connection.Send(FormatTestRequest(
        "GET", "/again/x",
        {"Req-Id: id-1", "Key: key-1", std::string("Limit-Ms: ") + limit}, ""));
    CHECK(connection.ReadAnswer().status == 200);
  }
}

// Guards against a caller that fills the host's memory between the chunks of a
// body.
TEST_CASE("a request with framing without an end is refused") {
  for (const char* framing : {"5;", "0\r\nX: "}) {
    CAPTURE(framing);
    GatewayHost host({});
    TestConnection connection(host.address());
    connection.Send(
        "POST /again/x HTTP/1.1\r\nHost: test\r\nReq-Id: id-1\r\n"
        "Key: key-1\r\nTransfer-Encoding: chunked\r\n\r\n");
    connection.Send(framing);
    const std::string part(65536, 'x');
    for (int n = 0; n < 8 && connection.Send(part); ++n) {
    }
    CHECK(connection.ReadAnswer().status == 400);
  }
}

// Guards against lost or interchanged responses to pipelined requests.
TEST_CASE("pipelined requests are answered in order") {
  ScriptedServer upstream({[](ScriptedConnection& connection) {
    std::string line = connection.ReadRequest();
    while (!line.empty()) {
      connection.Write(UpstreamAnswer(
          line, connection.last_request().find("Req-Id: a") != std::string::npos
                    ? "a"
                    : "b"));
      line = connection.ReadRequest();
    }
  }});
  GatewayHost host({upstream.address()});
  TestConnection connection(host.address());
  connection.Send(
      FormatTestRequest("GET", "/again/1", {"Req-Id: a", "Key: key-1"}, "") +
      FormatTestRequest("POST", "/once/2", {"Req-Id: b", "Key: key-1"}, "xyz"));
  CHECK(connection.ReadAnswer().body == "GET /again/1");
  CHECK(connection.ReadAnswer().body == "POST /once/2");
}

// Guards against an upstream working for a caller that has disconnected.
TEST_CASE("a caller's disconnect closes the upstream connection") {
  std::atomic<bool> ended = false;
  ScriptedServer upstream({[&ended](ScriptedConnection& connection) {
    connection.ReadRequest();
    connection.HoldOpen();
    ended = true;
  }});
  GatewayHost host({upstream.address()});
  TestConnection connection(host.address());
  connection.Send(FormatTestRequest("POST", "/stream/x", TestHeaders(), "a"));
  while (upstream.Requests().empty()) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  CHECK_FALSE(ended);
  connection.Close();
  const auto give_up =
      std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (!ended && std::chrono::steady_clock::now() < give_up) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  CHECK(ended);
}

// Guards against forwarding malformed requests to an upstream.
TEST_CASE("malformed requests are refused and the connection closed") {
  RecordingUpstream upstream;
  GatewayHost host({upstream.address()});
  TestConnection connection(host.address());
  connection.Send(
      "POST /once/x HTTP/1.1\r\nHost: test\r\nContent-Length: 1\r\n"
      "Content-Length: 2\r\n\r\nab");
  CHECK(connection.ReadAnswer().status == 400);
  CHECK(connection.ReadsEnd());
  CHECK(upstream.request().empty());
}

}  // namespace
}  // namespace flamingogauge
