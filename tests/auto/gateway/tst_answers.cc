#include <doctest/doctest.h>

#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "tests/auto/gateway/gateway_host.h"
#include "tests/support/scripted_server.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kNotRun =
    "HTTP/1.1 503 Service Unavailable\r\nReq-Id: id-1\r\nNot-Run: 1\r\n"
    "Content-Length: 0\r\n\r\n";
const std::string kMisdirected =
    "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
const std::string kFailure =
    "HTTP/1.1 500 Internal Server Error\r\nReq-Id: id-1\r\nSeal: s9\r\n"
    "Content-Length: 4\r\n\r\noops";
const std::string kStreamHead =
    "HTTP/1.1 200 OK\r\nReq-Id: id-1\r\nSeal: s1\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
// The stream ends with its connection.
const std::string kOpenStreamHead =
    "HTTP/1.1 200 OK\r\nReq-Id: id-1\r\nSeal: s1\r\n"
    "Content-Type: text/event-stream\r\n\r\n";
const std::string kReset = "reset";

std::string Chunk(const std::string& text) {
  return "5;x=y\r\n" + text.substr(0, 5) + "\r\n" + [&text] {
    std::string size = "0";
    const std::string rest = text.substr(5);
    char buf[16];
    std::snprintf(buf, sizeof(buf), "%zx", rest.size());
    return std::string(buf) + "\r\n" + rest + "\r\n";
  }();
}

// Responds to the first request of a connection with `bytes` and closes it;
// with kReset, resets the connection without a response.
ScriptedServer::Script AnswerOnce(const std::string& bytes) {
  return [bytes](ScriptedConnection& connection) {
    connection.ReadRequest();
    if (bytes == kReset) {
      connection.ResetOnClose();
    } else {
      connection.Write(bytes);
    }
  };
}

// Responds to the first request with `bytes` and ends like a crashed process:
// the connection is closed and new ones are refused.
ScriptedServer::Script EndAfter(const std::string& bytes) {
  return [bytes](ScriptedConnection& connection) {
    connection.ReadRequest();
    ScriptedConnection::StopServer();
    connection.Write(bytes);
  };
}

std::size_t CountRequests(
    const std::vector<std::unique_ptr<ScriptedServer>>& servers) {
  std::size_t count = 0;
  for (const auto& it : servers) {
    count += it->Requests().size();
  }
  return count;
}

// Guards against relaying a response that is not the upstream's, reporting an
// executed request as not executed, and executing a request twice.
TEST_CASE("a response is relayed, replaced or retried on another upstream") {
  struct Row {
    std::string name;
    std::string path;
    // Responses of the first and the second upstream.
    std::string first;
    std::string second;
    int status;
    std::string body;
    bool complete;
    std::size_t sends;
  };
  const std::string ok = UpstreamAnswer("ok");
  const std::string cut =
      "HTTP/1.1 200 OK\r\nReq-Id: id-1\r\nSeal: s\r\nContent-Length: "
      "9\r\n\r\npart";
  for (const Row& row : {
           Row{"success", "/once/", ok, ok, 200, "ok", true, 1},
           Row{"upstream failure", "/once/", kFailure, ok, 500, "oops", true,
               1},
           Row{"upstream failure, idempotent", "/again/", kFailure, ok, 200,
               "ok", true, 2},
           Row{"two failures", "/again/", kFailure, kFailure, 500, "oops", true,
               2},
           Row{"refused, one dispatch", "/once/", kNotRun, ok, 503, "", true,
               1},
           Row{"refused, two dispatches", "/again/", kNotRun, ok, 200, "ok",
               true, 2},
           Row{"refused twice", "/again/", kNotRun, kNotRun, 503, "", true, 2},
           Row{"misdirected", "/again/", kMisdirected, ok, 200, "ok", true, 2},
           Row{"reset, at most once", "/once/", kReset, ok, 502, "", true, 1},
           Row{"reset, idempotent", "/again/", kReset, ok, 200, "ok", true, 2},
           Row{"reset, then refused", "/again/", kReset, kNotRun, 502, "", true,
               2},
           Row{"cut short, at most once", "/once/", cut, ok, 502, "", true, 1},
           Row{"cut short, idempotent", "/again/", cut, ok, 200, "ok", true, 2},
           Row{"no seal", "/once/",
               "HTTP/1.1 200 OK\r\nReq-Id: id-1\r\nContent-Length: "
               "2\r\n\r\nok",
               ok, 502, "", true, 1},
           Row{"no request id", "/once/",
               "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok", ok,
               502, "", true, 1},
           Row{"invalid response", "/once/", "garbage\r\n\r\n", ok, 502, "",
               true, 1},
           Row{"preceded by a response to another request", "/once/",
               UpstreamAnswer("not mine", "id-0") + ok, ok, 200, "ok", true, 1},
           Row{"only a response to another request", "/once/",
               UpstreamAnswer("not mine", "id-0"), ok, 502, "", true, 1},
           Row{"interim response", "/once/",
               "HTTP/1.1 100 Continue\r\n\r\n" + ok, ok, 200, "ok", true, 1},
           Row{"no length", "/once/",
               "HTTP/1.1 200 OK\r\nReq-Id: id-1\r\nSeal: s\r\n\r\nuntil close",
               ok, 200, "until close", true, 1},
           Row{"stream", "/stream/",
               kStreamHead + Chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n", ok, 200,
               "id: 1\ndata: a\n\n", true, 1},
           Row{"stream cut short", "/stream/",
               kStreamHead + Chunk("id: 1\ndata: a\n\n"), ok, 200,
               "id: 1\ndata: a\n\n", false, 1},
           Row{"stream without events", "/stream/", kStreamHead, ok, 502, "",
               true, 1},
           Row{"stream that ends within an event", "/stream/",
               kStreamHead + Chunk("id: 1\ndata: a\n\nid: 2") + "0\r\n\r\n", ok,
               200, "id: 1\ndata: a\n\nid: 2", false, 1},
           Row{"stream without a length", "/stream/",
               kOpenStreamHead + "id: 1\ndata: a\n\n", ok, 200,
               "id: 1\ndata: a\n\n", true, 1},
           Row{"stream without a length that ends within an event", "/stream/",
               kOpenStreamHead + "id: 1\ndata: a\n\nid: 2\nda", ok, 200,
               "id: 1\ndata: a\n\nid: 2\nda", false, 1},
           Row{"resumable stream without a length", "/resume/",
               kOpenStreamHead + "id: 1\ndata: a\n\n", ok, 200,
               "id: 1\ndata: a\n\n", true, 1},
           Row{"resumable stream that ends within an event", "/resume/",
               kOpenStreamHead + "id: 1\ndata: a\n\nid: 2\nda",
               kStreamHead + Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n", 200,
               "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", true, 2},
           Row{"resumable stream that ends within its first event", "/resume/",
               kOpenStreamHead + "id: 1\nda",
               kStreamHead + Chunk("id: 1\ndata: b\n\n") + "0\r\n\r\n", 200,
               "id: 1\ndata: b\n\n", true, 2},
           Row{"ends within the head", "/once/",
               "HTTP/1.1 200 OK\r\nReq-Id: id-1\r\nSeal: s1\r\nContent-Le", ok,
               502, "", true, 1},
           Row{"ends before the empty line of the head", "/once/",
               "HTTP/1.1 200 OK\r\nReq-Id: id-1\r\nSeal: s1\r\n", ok, 502, "",
               true, 1},
           Row{"ends within the head, idempotent", "/again/",
               "HTTP/1.1 200 OK\r\nReq-Id: id-1\r\nSeal: s1\r\n", ok, 200, "ok",
               true, 2},
           Row{"stream that ends within the head", "/stream/",
               "HTTP/1.1 200 OK\r\nReq-Id: id-1\r\nSeal: s1\r\n", ok, 502, "",
               true, 1},
       }) {
    CAPTURE(row.name);
    ScriptedServer first({AnswerOnce(row.first)});
    ScriptedServer second({AnswerOnce(row.second)});
    GatewayHost host({first.address(), second.address()});
    const TestAnswer answer = host.SendRequest("POST", row.path, "body");
    CHECK(answer.status == row.status);
    CHECK(answer.body == row.body);
    CHECK(answer.complete == row.complete);
    CHECK(first.Requests().size() + second.Requests().size() == row.sends);
    CHECK(answer.headers.contains("retry-after") == (row.status == 503));
    CHECK(answer.headers.contains("seal") ==
          (row.status == 200 || row.status == 500));
  }
}

// Guards against an answer of an upstream in trouble that reaches the caller,
// and against one that is waited for although it cannot follow.
TEST_CASE("a response with a status that does not exist is no answer") {
  struct Row {
    std::string path;
    std::string status;
    int expected;
  };
  for (const Row& row :
       {Row{"/once/", "000", 502}, Row{"/once/", "001", 502},
        Row{"/once/", "101", 502}, Row{"/once/", "600", 502},
        Row{"/once/", "999", 502}, Row{"/stream/", "000", 502},
        Row{"/again/", "000", 200}, Row{"/resume/", "777", 200}}) {
    CAPTURE(row.path);
    CAPTURE(row.status);
    ScriptedServer faulty({[&row](ScriptedConnection& connection) {
      connection.ReadRequest();
      connection.Write("HTTP/1.1 " + row.status +
                       " Odd\r\nReq-Id: id-1\r\nSeal: s1\r\n"
                       "Content-Length: 4\r\n\r\noops");
      connection.HoldOpen();
    }});
    ScriptedServer second({AnswerOnce(UpstreamAnswer("id: 1\ndata: a\n\n"))});
    GatewayHost host({faulty.address(), second.address()});
    const auto start = std::chrono::steady_clock::now();
    const TestAnswer answer = host.SendRequest("POST", row.path, "body");
    CHECK(answer.status == row.expected);
    CHECK(answer.body == (row.expected == 200 ? "id: 1\ndata: a\n\n" : ""));
    CHECK(std::chrono::steady_clock::now() - start < seconds(2));
  }
}

// Guards against events that are lost, repeated or spliced from two executions.
TEST_CASE("a stream is resumed after its last complete event") {
  std::string resumed;
  ScriptedServer first({AnswerOnce(
      kStreamHead + Chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"))});
  ScriptedServer second({[&resumed](ScriptedConnection& connection) {
    connection.ReadRequest();
    resumed = connection.last_request();
    connection.Write(kStreamHead + Chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n");
  }});
  GatewayHost host({first.address(), second.address()});
  const TestAnswer answer = host.SendRequest("POST", "/resume/", "body");
  CHECK(answer.status == 200);
  CHECK(answer.complete);
  CHECK(answer.body ==
        "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  CHECK(resumed.find("Last-Event-ID: 2\r\n") != std::string::npos);
  CHECK(resumed.find("For-Upstream: u1\r\n") != std::string::npos);
}

// Guards against an upstream that fills the host's memory with an event that
// never ends.
TEST_CASE("an event without an end is given up") {
  ScriptedServer endless({[](ScriptedConnection& connection) {
    connection.ReadRequest();
    connection.Write(kOpenStreamHead + "id: 1\ndata: a\n\nid: 2\ndata: ");
    const std::string part(65536, 'x');
    for (int n = 0; n < 40; ++n) {
      connection.Write(part);
    }
    connection.HoldOpen();
  }});
  ScriptedServer second(
      {AnswerOnce(kStreamHead + Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n")});
  GatewayHost host({endless.address(), second.address()});
  const TestAnswer answer = host.SendRequest("POST", "/resume/", "body");
  CHECK(answer.complete);
  CHECK(answer.body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

// Guards against an upstream that fills the host's memory before the body, or
// between its chunks.
TEST_CASE("framing without an end is given up") {
  struct Row {
    std::string name;
    std::string begin;
  };
  for (const Row& row : {
           Row{"a field of the head", "HTTP/1.1 200 OK\r\nReq-Id: "},
           Row{"the status line", "HTTP/1.1 200 "},
           Row{"a chunk's extension", kStreamHead + "5;"},
           Row{"a field of the trailer", kStreamHead + "0\r\nX: "},
       }) {
    CAPTURE(row.name);
    ScriptedServer endless({[&row](ScriptedConnection& connection) {
      connection.ReadRequest();
      connection.Write(row.begin);
      const std::string part(65536, 'x');
      for (int n = 0; n < 40; ++n) {
        connection.Write(part);
      }
      connection.HoldOpen();
    }});
    GatewayHost host({endless.address()});
    const auto start = std::chrono::steady_clock::now();
    CHECK(host.SendRequest("POST", "/stream/", "body").status == 502);
    CHECK(std::chrono::steady_clock::now() - start < seconds(2));
  }
}

// Guards against a host that spends its processor on bytes that belong to no
// answer until the time limit, which it then reports instead of what it knows.
TEST_CASE("what is not passed on is not read without end") {
  struct Row {
    std::string name;
    std::string path;
    std::string begin;
    // Repeated.
    std::string part;
    int status;
  };
  const std::string no_answer =
      "HTTP/1.1 503 Full\r\nReq-Id: id-1\r\nNot-Run: 1\r\n\r\n";
  const std::string bytes(65536, 'x');
  std::string interim;
  while (interim.size() < bytes.size()) {
    interim += "HTTP/1.1 100 Continue\r\n\r\n";
  }
  for (const Row& row : {
           Row{"interim responses", "/once/", "", interim, 502},
           Row{"a response to another request", "/once/",
               "HTTP/1.1 200 OK\r\nReq-Id: id-0\r\n\r\n", bytes, 502},
           Row{"a refusal", "/once/", no_answer, bytes, 503},
           Row{"a refusal, two dispatches", "/again/", no_answer, bytes, 200},
       }) {
    CAPTURE(row.name);
    ScriptedServer endless({[&row](ScriptedConnection& connection) {
      connection.ReadRequest();
      connection.Write(row.begin);
      while (connection.Write(row.part)) {
      }
    }});
    ScriptedServer second({AnswerOnce(UpstreamAnswer("ok"))});
    GatewayHost host({endless.address(), second.address()});
    const auto start = std::chrono::steady_clock::now();
    const TestAnswer answer = host.SendRequest("POST", row.path, "body");
    CHECK(answer.status == row.status);
    CHECK(answer.complete);
    CHECK(std::chrono::steady_clock::now() - start < seconds(2));
  }
}

// Guards against an error's text within a stream, and against a stream that
// looks complete although resuming it failed.
TEST_CASE("a resumed stream that fails stays incomplete") {
  const std::string error_fields =
      "Req-Id: id-1\r\nSeal: s9\r\nContent-Length: 4\r\n\r\noops";
  const std::string not_sealed =
      "HTTP/1.1 200 OK\r\nReq-Id: id-1\r\nContent-Length: 16\r\n\r\n"
      "id: 2\ndata: b\n\n";
  for (const std::string& second : std::vector<std::string>{
           kFailure,
           "HTTP/1.1 404 Not Found\r\n" + error_fields,
           "HTTP/1.1 400 Bad Request\r\nContent-Length: 4\r\n\r\noops",
           "HTTP/1.1 429 Too Many Requests\r\n" + error_fields,
           "HTTP/1.1 302 Found\r\n" + error_fields,
           "HTTP/1.1 409 Conflict\r\nReq-Id: id-1\r\n\r\nuntil close",
           kNotRun,
           kMisdirected,
           kReset,
           not_sealed,
           "garbage\r\n\r\n",
           "HTTP/1.1 500 Internal Ser",
       }) {
    CAPTURE(second);
    ScriptedServer first(
        {AnswerOnce(kStreamHead + Chunk("id: 1\ndata: a\n\n"))});
    ScriptedServer resumed({AnswerOnce(second)});
    GatewayHost host({first.address(), resumed.address()});
    const TestAnswer answer = host.SendRequest("POST", "/resume/", "body");
    CHECK(answer.status == 200);
    CHECK(answer.body == "id: 1\ndata: a\n\n");
    CHECK_FALSE(answer.complete);
    CHECK(resumed.Requests().size() == 1);
  }
}

// Guards against a refusal that an upstream writes twice on a connection: the
// next request was told that it had not run, or ran on a second upstream.
TEST_CASE("a repeated refusal is not taken for that of the next request") {
  struct Row {
    std::string name;
    std::string refusal;
    // The id of the second request.
    std::string second_id;
  };
  const std::string without_id =
      "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n"
      "Content-Length: 0\r\n\r\n";
  const std::string bad_request =
      "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n";
  for (const Row& row : {
           Row{"with the id", kNotRun, "id-2"},
           Row{"with the id, and the request is sent again", kNotRun, "id-1"},
           Row{"without an id", without_id, "id-2"},
           Row{"a bad request", bad_request, "id-2"},
           Row{"a failure with the id, sent again", kFailure, "id-1"},
       }) {
    CAPTURE(row.name);
    const std::string answer = UpstreamAnswer("ok", row.second_id);
    // Repeats the refusal as the next request arrives, then runs that one.
    const ScriptedServer::Script repeat = [&](ScriptedConnection& connection) {
      connection.ReadRequest();
      connection.Write(row.refusal);
      if (!connection.ReadRequest().empty()) {
        connection.Write(row.refusal + answer);
      }
    };
    ScriptedServer upstream({repeat, AnswerOnce(answer)});
    GatewayHost host({upstream.address()});
    CHECK(host.SendRequest("POST", "/once/", "a").status != 200);
    TestConnection connection(host.address());
    connection.Send(FormatTestRequest(
        "POST", "/once/",
        {"Req-Id: " + row.second_id, "Key: key-1", "Limit-Ms: 4000"}, "b"));
    CHECK(connection.ReadAnswer().body == "ok");
    CHECK(upstream.Requests().size() == 2);
  }
}

// Guards against a request that crashes every upstream it runs on, wherever in
// their responses they end.
TEST_CASE("a request under which three upstreams ended is not sent again") {
  struct Row {
    std::string name;
    std::string path;
    // What each upstream sends before it ends.
    std::string response;
  };
  for (const Row& row : {
           Row{"before the head", "/once/", ""},
           Row{"within the head", "/once/", "HTTP/1.1 200 OK\r\nReq-"},
           Row{"after the head", "/stream/", kStreamHead},
           Row{"within the first event", "/resume/",
               kStreamHead + Chunk("id: 1\nda")},
           Row{"within the body", "/once/",
               "HTTP/1.1 200 OK\r\nReq-Id: id-1\r\nSeal: s\r\n"
               "Content-Length: 9\r\n\r\npart"},
       }) {
    CAPTURE(row.name);
    std::vector<std::unique_ptr<ScriptedServer>> upstreams;
    std::vector<std::string> addresses;
    for (int n = 0; n < 4; ++n) {
      upstreams.push_back(std::make_unique<ScriptedServer>(
          std::vector<ScriptedServer::Script>{EndAfter(row.response)}));
      addresses.push_back(upstreams.back()->address());
    }
    GatewayHost host(addresses);
    for (int n = 0; n < 4; ++n) {
      host.SendRequest("POST", row.path, "body");
    }
    CHECK(CountRequests(upstreams) == 3);
    const TestAnswer refusal = host.SendRequest("POST", row.path, "body");
    CHECK(refusal.status == 503);
    // Until the quarantine ends.
    REQUIRE(refusal.headers.contains("retry-after"));
    CHECK(std::stod(refusal.headers.at("retry-after")) > 50);
    CHECK(CountRequests(upstreams) == 3);
  }
}

// Guards against a prompt part that crashes upstreams under ever new requests.
TEST_CASE("a prompt part under which three upstreams ended is not sent again") {
  std::vector<std::unique_ptr<ScriptedServer>> upstreams;
  std::vector<std::string> addresses;
  for (int n = 0; n < 5; ++n) {
    upstreams.push_back(std::make_unique<ScriptedServer>(
        std::vector<ScriptedServer::Script>{EndAfter(kStreamHead)}));
    addresses.push_back(upstreams.back()->address());
  }
  GatewayHost host(addresses);
  const auto send = [&host](const std::string& parts, int n) {
    std::vector<std::string> headers = TestHeaders();
    headers.push_back("Parts: " + parts + std::to_string(n) + ":40");
    TestConnection connection(host.address());
    connection.Send(FormatTestRequest("POST", "/stream/", headers,
                                      "body " + std::to_string(n)));
    return connection.ReadAnswer().status;
  };
  for (int n = 0; n < 3; ++n) {
    CHECK(send("a1:800,b2:200,", n) == 502);
  }
  // A crash counts against prompt parts after a while.
  std::this_thread::sleep_for(milliseconds(700));
  CHECK(send("a1:800,b2:200,", 3) == 503);
  CHECK(CountRequests(upstreams) == 3);
  // The part that comes first is shared by more requests, and not blamed.
  CHECK(send("a1:800,", 4) == 502);
  CHECK(CountRequests(upstreams) == 4);
}

// Guards against refusing a sound request because connections were lost for
// other reasons than a crash.
TEST_CASE("responses lost by upstreams that go on are not counted as crashes") {
  for (const std::string& lost : {kReset, kStreamHead}) {
    CAPTURE(lost);
    std::vector<std::unique_ptr<ScriptedServer>> upstreams;
    std::vector<std::string> addresses;
    for (int n = 0; n < 4; ++n) {
      upstreams.push_back(std::make_unique<ScriptedServer>(
          std::vector<ScriptedServer::Script>(8, AnswerOnce(lost))));
      addresses.push_back(upstreams.back()->address());
    }
    GatewayHost host(addresses);
    for (int n = 0; n < 5; ++n) {
      CHECK(host.SendRequest("POST", "/stream/", "body").status == 502);
    }
    CHECK(CountRequests(upstreams) == 5);
  }
}

// Guards against sending a request that waited while the upstreams before it
// crashed.
TEST_CASE("a waiting request is answered once it is quarantined") {
  constexpr int kUpstreams = 3;
  constexpr std::size_t kSlots = 4;
  std::vector<std::promise<void>> crashes(kUpstreams);
  std::vector<std::unique_ptr<ScriptedServer>> upstreams;
  std::vector<std::string> addresses;
  for (std::promise<void>& it : crashes) {
    const ScriptedServer::Script end_on_crash =
        [crash = it.get_future().share()](ScriptedConnection& connection) {
          connection.ReadRequest();
          crash.wait();
          ScriptedConnection::StopServer();
        };
    upstreams.push_back(std::make_unique<ScriptedServer>(
        std::vector<ScriptedServer::Script>(kSlots, end_on_crash)));
    addresses.push_back(upstreams.back()->address());
  }
  GatewayHost host(addresses);
  std::vector<std::future<TestAnswer>> running;
  for (std::size_t n = 0; n < kUpstreams * kSlots; ++n) {
    running.push_back(std::async(std::launch::async, [&host] {
      return host.SendRequest("POST", "/once/", "body");
    }));
  }
  while (CountRequests(upstreams) < running.size()) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  TestConnection waiting(host.address());
  waiting.Send(FormatTestRequest("POST", "/once/", TestHeaders(), "body"));
  // Other upstreams are still healthy, so that the request waits for them.
  for (std::promise<void>& it : crashes) {
    std::this_thread::sleep_for(milliseconds(100));
    it.set_value();
  }
  const auto start = std::chrono::steady_clock::now();
  CHECK(waiting.ReadAnswer().status == 503);
  CHECK(std::chrono::steady_clock::now() - start < milliseconds(500));
  CHECK(CountRequests(upstreams) == running.size());
  for (std::future<TestAnswer>& it : running) {
    CHECK(it.get().status == 502);
  }
}

// Guards against extra bytes after a response being relayed to the next caller.
TEST_CASE("an upstream connection with extra bytes is not reused") {
  const std::string extra = UpstreamAnswer("ok") + UpstreamAnswer("extra");
  ScriptedServer upstream({[&extra](ScriptedConnection& connection) {
                             connection.ReadRequest();
                             connection.Write(extra);
                             connection.HoldOpen();
                           },
                           AnswerOnce(UpstreamAnswer("second"))});
  GatewayHost host({upstream.address()});
  CHECK(host.SendRequest("POST", "/once/", "a").body == "ok");
  CHECK(host.SendRequest("POST", "/once/", "b").body == "second");
}

// Guards against callers waiting longer than the route's timeout.
TEST_CASE(
    "a request to an unresponsive upstream fails at the route's timeout") {
  ScriptedServer upstream({[](ScriptedConnection& connection) {
    connection.ReadRequest();
    connection.HoldOpen();
  }});
  GatewayHost host({upstream.address()});
  const auto start = std::chrono::steady_clock::now();
  CHECK(host.SendRequest("POST", "/short/", "a").status == 504);
  const auto took = std::chrono::steady_clock::now() - start;
  CHECK(took >= milliseconds(290));
}

// Guards against counting a refused connection as an attempt.
TEST_CASE("a request that could not be sent is sent to another upstream") {
  ScriptedServer dead({});
  const std::string dead_address = dead.address();
  dead.StopListening();
  ScriptedServer second({AnswerOnce(UpstreamAnswer("ok"))});
  GatewayHost host({dead_address, second.address()});
  CHECK(host.SendRequest("POST", "/once/", "a").status == 200);
}

}  // namespace
}  // namespace flamingogauge
