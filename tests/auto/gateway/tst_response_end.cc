#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

#include "tests/auto/gateway/gateway_host.h"
#include "tests/support/scripted_server.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

// More than the socket buffers take, so that the request is still being written
// when the response ends; below the limit on bodies.
constexpr std::size_t kBodyBytes = 4000000;
constexpr milliseconds kPause{100};

const std::string kFirstHalf = "data: one\n\n";
const std::string kSecondHalf = "data: two\n\n";
// A response that ends with its connection.
const std::string kHead =
    "HTTP/1.1 200 OK\r\nReq-Id: id-1\r\nSeal: s1\r\nConnection: close\r\n\r\n";

enum class Ending {
  // The upstream ends in the middle of the response: its kernel resets the
  // connection, because bytes of the request are unread.
  kReset,
  // The upstream completes the response, then reads the rest of the request.
  kReadThenClose,
  // The same, but it ends its half of the connection first.
  kCloseThenRead,
};

ScriptedServer::Script RespondEarly(Ending ending) {
  return [ending](ScriptedConnection& connection) {
    connection.ReadHead();
    connection.Write(kHead + kFirstHalf);
    std::this_thread::sleep_for(kPause);
    if (ending == Ending::kReset) {
      return;
    }
    connection.Write(kSecondHalf);
    if (ending == Ending::kCloseThenRead) {
      connection.ShutdownSending();
      std::this_thread::sleep_for(kPause);
    }
    connection.ReadRestOfBody(kBodyBytes);
  };
}

struct EndingCase {
  std::string path;
  Ending ending;
  int status;
  const char* body;
  bool complete;
  std::size_t request_bytes = kBodyBytes;
};

// Guards against half of a response that passes for the whole: the reset of its
// connection is reported to the write of the request, not to the read.
TEST_CASE("a response that ends with its connection is whole or broken off") {
  const std::string whole = kFirstHalf + kSecondHalf;
  for (const EndingCase& it :
       {EndingCase{"/once/", Ending::kReset, 502, "", true},
        EndingCase{"/again/", Ending::kReset, 200, "resent", true},
        EndingCase{"/stream/", Ending::kReset, 200, kFirstHalf.c_str(), false},
        // The kernel has taken the whole request, and has still to send it.
        EndingCase{"/once/", Ending::kReset, 502, "", true, 70000},
        EndingCase{"/stream/", Ending::kReset, 200, kFirstHalf.c_str(), false,
                   70000},
        EndingCase{"/once/", Ending::kReadThenClose, 200, whole.c_str(), true},
        EndingCase{"/stream/", Ending::kReadThenClose, 200, whole.c_str(),
                   true},
        EndingCase{"/once/", Ending::kCloseThenRead, 200, whole.c_str(), true},
        EndingCase{"/stream/", Ending::kCloseThenRead, 200, whole.c_str(),
                   true}}) {
    CAPTURE(it.path);
    CAPTURE(static_cast<int>(it.ending));
    CAPTURE(it.request_bytes);
    ScriptedServer first({RespondEarly(it.ending)},
                         {.has_small_buffers = it.request_bytes < kBodyBytes});
    ScriptedServer second({[](ScriptedConnection& connection) {
      connection.ReadRequest();
      connection.Write(UpstreamAnswer("resent"));
    }});
    GatewayHost host({first.address(), second.address()});
    const TestAnswer answer =
        host.SendRequest("POST", it.path, std::string(it.request_bytes, 'p'));
    CHECK(answer.status == it.status);
    CHECK(answer.body == it.body);
    CHECK(answer.complete == it.complete);
  }
}

struct OldCallerCase {
  // What the upstream sends before it closes the connection.
  std::string response;
  bool complete;
};

// Guards against a truncated response that looks complete to a caller with
// HTTP/1.0, for whom a response without a length ends with its connection.
TEST_CASE("a caller with HTTP/1.0 notices a truncated response") {
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nReq-Id: id-1\r\nSeal: s1\r\n"
      "Transfer-Encoding: chunked\r\n\r\nb\r\ndata: one\n\n\r\n";
  for (const OldCallerCase& it : {OldCallerCase{chunked, false},
                                  OldCallerCase{chunked + "0\r\n\r\n", true}}) {
    CAPTURE(it.complete);
    ScriptedServer upstream({[&it](ScriptedConnection& connection) {
      connection.ReadRequest();
      connection.Write(it.response);
      std::this_thread::sleep_for(kPause);
    }});
    GatewayHost host({upstream.address()});
    TestConnection connection(host.address());
    connection.Send(
        "GET /stream/ HTTP/1.0\r\nHost: test\r\nReq-Id: id-1\r\n"
        "Key: key-1\r\nLimit-Ms: 4000\r\n\r\n");
    CHECK(connection.ReadUntil("data: one"));
    CHECK(connection.ReadToEnd().has_value() == it.complete);
  }
}

struct UnreadCase {
  std::string name;
  // Before the first event, between events, and their number.
  milliseconds first_after;
  milliseconds interval;
  int events;
};

// Guards against a sound upstream that is taken for a dead one, and its
// response cut off, because it reads the request's body late.
TEST_CASE("an upstream may leave a body unread for longer than 2 s") {
  const std::string body(70000, 'p');
  for (const UnreadCase& it :
       {UnreadCase{"it responds", milliseconds(0), milliseconds(100), 30},
        UnreadCase{"it is silent", milliseconds(3000), milliseconds(0), 2}}) {
    CAPTURE(it.name);
    std::string events;
    for (int n = 0; n < it.events; ++n) {
      events += "data: " + std::to_string(n) + "\n\n";
    }
    std::atomic<bool> read_all = false;
    ScriptedServer upstream(
        {[&](ScriptedConnection& connection) {
          connection.ReadHead();
          std::this_thread::sleep_for(it.first_after);
          connection.Write(kHead);
          for (int n = 0; n < it.events; ++n) {
            connection.Write("data: " + std::to_string(n) + "\n\n");
            std::this_thread::sleep_for(it.interval);
          }
          read_all = connection.ReadRestOfBody(body.size());
        }},
        {.has_small_buffers = true});
    GatewayHost host({upstream.address()});
    const TestAnswer answer = host.SendRequest("POST", "/stream/", body);
    CHECK(answer.status == 200);
    CHECK(answer.complete);
    CHECK(answer.body == events);
    CHECK(read_all.load());
  }
}

// Guards against a connection that is not read any more after a response whose
// last part had to wait for a slow caller: the next request on it fails with
// 504, although the upstream responds.
TEST_CASE("a connection is read again after a response to a slow caller") {
  constexpr std::size_t kLastPart = 60000;
  // In one of these sizes, the last part is what fills the queue for the
  // caller; it depends on how much the kernel takes over.
  for (std::size_t size = 300000; size <= 900000; size += 40000) {
    CAPTURE(size);
    ScriptedServer upstream({[size](ScriptedConnection& connection) {
      connection.ReadRequest();
      const std::string response = UpstreamAnswer(std::string(size, 'b'));
      const std::size_t first = response.size() - kLastPart;
      connection.Write(response.substr(0, first));
      std::this_thread::sleep_for(kPause / 2);
      connection.Write(response.substr(first));
      if (!connection.ReadRequest().empty()) {
        connection.Write(UpstreamAnswer("second", "id-2"));
      }
    }});
    GatewayHost host({upstream.address()});
    TestConnection slow(host.address(), {.has_small_buffers = true});
    slow.Send(FormatTestRequest("POST", "/once/", TestHeaders(), "a"));
    std::this_thread::sleep_for(kPause);
    CHECK(slow.ReadAnswer().body.size() == size);
    TestConnection next(host.address());
    next.Send(FormatTestRequest(
        "POST", "/short/", {"Req-Id: id-2", "Key: key-1", "Limit-Ms: 4000"},
        "a"));
    CHECK(next.ReadAnswer().body == "second");
  }
}

}  // namespace
}  // namespace flamingogauge
