#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "plugins/upstreams/curl_upstream_client.h"
#include "tests/auto/upstreams/recording_observer.h"
#include "tests/support/scripted_server.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

UpstreamCall Booking(const std::string& address, const std::string& key) {
  return {.id = {.sequence = 1},
          .upstream = "booking-1",
          .address = address,
          .path = "/book",
          .headers = {{"Idempotency-Key", key}},
          .body = R"({"crew":3})",
          .max_answer_bytes = 1000,
          .first_byte_time_limit = milliseconds(500),
          .gap_time_limit = milliseconds(300),
          .total_time_limit = milliseconds(10000)};
}

// Guards against libcurl's automatic retry when a reused connection closes
// without a response, which would execute a booking twice.
TEST_CASE("a reused connection that ends is not tried again") {
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
  ScriptedServer server({[&answer](ScriptedConnection& it) {
    it.ReadRequest();
    it.Write(answer);
    it.ReadRequest();
  }});
  CurlUpstreamClient client({}, 1);
  auto first = std::make_shared<RecordingObserver>();
  client.Start(Booking(server.address(), "a"), first);
  REQUIRE(first->WaitForEnd().complete);

  auto second = std::make_shared<RecordingObserver>();
  UpstreamCall call = Booking(server.address(), "b");
  call.id.sequence = 2;
  client.Start(call, second);
  const CallRecord record = second->WaitForEnd();
  REQUIRE(record.error);
  CHECK(record.sendings == 1);
  CHECK(record.knowledge == ExecutionKnowledge::kMaybeExecuted);
  CHECK(server.Requests() ==
        std::vector<std::string>{"POST /book", "POST /book"});
}

// Each row guards against reporting a truncated response as complete.
TEST_CASE("a truncated answer is a failure") {
  const std::vector<std::string> answers{
      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
      "HTTP/1.1 200 OK\r\n\r\n{}",
      "HTTP/1.1 200 OK\r\nContent-Le",
  };
  for (const std::string& answer : answers) {
    CAPTURE(answer);
    ScriptedServer server({[&answer](ScriptedConnection& it) {
      it.ReadRequest();
      it.Write(answer);
    }});
    CurlUpstreamClient client({}, 1);
    auto observer = std::make_shared<RecordingObserver>();
    client.Start(Booking(server.address(), "k"), observer);
    const CallRecord record = observer->WaitForEnd();
    CHECK(!record.complete);
    CHECK(record.knowledge == ExecutionKnowledge::kMaybeExecuted);
    const auto requests = server.Requests();
    CHECK(std::count(requests.begin(), requests.end(), "POST /book") == 1);
  }
}

// Guards against reporting a service crash as a lost connection.
TEST_CASE("a service that ends during a call has crashed") {
  ScriptedServer* server = nullptr;
  ScriptedServer listening({[&server](ScriptedConnection& it) {
    it.ReadRequest();
    server->StopListening();
    it.ResetOnClose();
  }});
  server = &listening;
  CurlUpstreamClient client({}, 1);
  auto observer = std::make_shared<RecordingObserver>();
  client.Start(Booking(listening.address(), "k"), observer);
  const CallRecord record = observer->WaitForEnd();
  REQUIRE(record.error);
  CHECK(record.error->code == ErrorCode::kPeerCrashed);
  CHECK(record.knowledge == ExecutionKnowledge::kMaybeExecuted);
}

}  // namespace
}  // namespace flamingogauge
