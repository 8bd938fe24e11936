#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "plugins/upstreams/curl_upstream_client.h"
#include "tests/auto/upstreams/recording_observer.h"
#include "tests/support/scripted_server.h"

namespace flamingogauge {
namespace {

using Script = ScriptedServer::Script;
using std::chrono::milliseconds;

constexpr const char* kHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

UpstreamsSettings FastSettings() {
  return {.max_resumes = 2, .resume_backoff = milliseconds(1)};
}

UpstreamCall EngineCallTo(const std::string& address) {
  return {.id = {.sequence = 7},
          .upstream = "engine-1",
          .address = address,
          .path = "/v1/chat/completions",
          .body = "{}",
          .is_engine = true,
          .first_byte_time_limit = milliseconds(900),
          .gap_time_limit = milliseconds(300),
          .total_time_limit = milliseconds(10000)};
}

std::string Event(int offset) {
  const std::string n = std::to_string(offset);
  return "id: " + n + "\ndata: t" + n + "\n\n";
}

std::string Done(int offset) {
  return "id: " + std::to_string(offset) + "\ndata: [DONE]\n\n";
}

// Reads the request, writes the bytes and closes the connection.
Script Answer(const std::string& bytes) {
  return [bytes](ScriptedConnection& it) {
    it.ReadRequest();
    it.Write(bytes);
  };
}

// Like Answer, but keeps the connection open without sending more.
Script AnswerAndHold(const std::string& bytes) {
  return [bytes](ScriptedConnection& it) {
    it.ReadRequest();
    it.Write(bytes);
    it.HoldOpen();
  };
}

// Each row guards against a connection or engine fault that truncates,
// duplicates or reorders the response, or wrongly reports "not executed".
struct FaultCase {
  std::string name;
  std::vector<Script> scripts;
  std::vector<std::string> data;
  // nullopt when the call completes.
  std::optional<ErrorCode> error;
  ExecutionKnowledge knowledge = ExecutionKnowledge::kMaybeExecuted;
  // The offset that the first resume requests; -1 for no resume.
  int resume_offset = -1;
};

std::vector<FaultCase> FaultCases() {
  const std::string head = kHead;
  const std::vector<std::string> whole{"t0", "t1", "t2"};
  const std::string rest = Event(1) + Event(2) + Done(3);
  return {
      {"whole answer", {Answer(head + Event(0) + rest)}, whole, {}},
      {"events without ids",
       {Answer(head + "data: t0\n\ndata: t1\n\ndata: t2\n\n"
                      "data: [DONE]\n\n")},
       whole,
       {}},
      {"duplicated events",
       {Answer(head + Event(0) + Event(0) + Event(1) + Event(0) + rest)},
       whole,
       {}},
      {"reordered events",
       {Answer(head + Event(2) + Event(0) + Event(1) + Done(3))},
       whole,
       {}},
      {"hang-up in the stream",
       {Answer(head + Event(0)), Answer(head + rest)},
       whole,
       {},
       ExecutionKnowledge::kMaybeExecuted,
       1},
      {"hang-up inside an event",
       {Answer(head + Event(0) + "id: 1\nda"), Answer(head + rest)},
       whole,
       {},
       ExecutionKnowledge::kMaybeExecuted,
       1},
      {"silence in the stream",
       {AnswerAndHold(head + Event(0)), Answer(head + rest)},
       whole,
       {},
       ExecutionKnowledge::kMaybeExecuted,
       1},
      {"silence before the head",
       {AnswerAndHold(""), Answer(head + Event(0) + rest)},
       whole,
       {},
       ExecutionKnowledge::kMaybeExecuted,
       0},
      {"gap that is not filled",
       {Answer(head + Event(0) + Event(2) + Done(3)), Answer(head + rest)},
       whole,
       {},
       ExecutionKnowledge::kMaybeExecuted,
       1},
      {"resume that starts too early",
       {Answer(head + Event(0) + Event(1)), Answer(head + Event(0) + rest)},
       whole,
       {},
       ExecutionKnowledge::kMaybeExecuted,
       2},
      {"resume refused once",
       {Answer(head + Event(0)),
        Answer("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
        Answer(head + rest)},
       whole,
       {},
       ExecutionKnowledge::kMaybeExecuted,
       1},
      {"[DONE] too early",
       {Answer(head + Event(0) + Event(1) + Done(1)),
        Answer(head + Event(2) + Done(3))},
       whole,
       {},
       ExecutionKnowledge::kMaybeExecuted,
       2},
      {"answer that always ends short",
       {Answer(head + Event(0)), Answer(head), Answer(head)},
       {"t0"},
       ErrorCode::kUnavailable,
       ExecutionKnowledge::kMaybeExecuted,
       1},
      {"engine that forgot the stream",
       {Answer(head + Event(0))},
       {"t0"},
       ErrorCode::kUnavailable,
       ExecutionKnowledge::kMaybeExecuted,
       1},
      {"hang-up without an answer",
       {Answer("")},
       {},
       ErrorCode::kUnavailable,
       ExecutionKnowledge::kMaybeExecuted,
       0},
      {"refusal before execution",
       {Answer("HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n"
               "Content-Length: 0\r\n\r\n")},
       {},
       ErrorCode::kUnavailable,
       ExecutionKnowledge::kNotExecuted},
      {"error 503 that does not exclude execution",
       {Answer("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")},
       {},
       ErrorCode::kUnavailable,
       ExecutionKnowledge::kMaybeExecuted},
      {"refusal header on another status",
       {Answer("HTTP/1.1 500 Error\r\nX-Not-Executed: 1\r\n"
               "Content-Length: 0\r\n\r\n")},
       {},
       ErrorCode::kUnavailable,
       ExecutionKnowledge::kMaybeExecuted},
      {"invalid request",
       {Answer("HTTP/1.1 400 Bad\r\nContent-Length: 2\r\n\r\nno")},
       {},
       ErrorCode::kInvalidArgument,
       ExecutionKnowledge::kMaybeExecuted},
      {"silence for the whole time",
       {AnswerAndHold(head)},
       {},
       ErrorCode::kTimeout,
       ExecutionKnowledge::kMaybeExecuted},
  };
}

TEST_CASE("engine faults end in complete responses or correct failures") {
  for (const FaultCase& row : FaultCases()) {
    CAPTURE(row.name);
    ScriptedServer server(row.scripts);
    CurlUpstreamClient client(FastSettings(), 1);
    auto observer = std::make_shared<RecordingObserver>();
    client.Start(EngineCallTo(server.address()), observer);
    const CallRecord record = observer->WaitForEnd();

    CHECK(record.ends == 1);
    CHECK(record.sendings == 1);
    CHECK(record.data == row.data);
    CHECK(record.complete == !row.error.has_value());
    if (row.error && record.error) {
      CHECK(ToString(*record.error) != "");
      CHECK(record.error->code == *row.error);
      CHECK(record.knowledge == row.knowledge);
    }
    const auto requests = server.Requests();
    REQUIRE(!requests.empty());
    CHECK(requests[0] == "POST /v1/chat/completions");
    if (row.resume_offset >= 0) {
      REQUIRE(requests.size() > 1);
      CHECK(requests[1] == "GET /v1/streams/" + ToString(RequestId{{}, 7}) +
                               "?offset=" + std::to_string(row.resume_offset));
    }
  }
}

// Guards against an unreachable upstream being reported as possibly executed or
// as sent to.
TEST_CASE("a refused connection sends nothing") {
  ScriptedServer server({});
  server.StopListening();
  CurlUpstreamClient client(FastSettings(), 1);
  auto observer = std::make_shared<RecordingObserver>();
  client.Start(EngineCallTo(server.address()), observer);
  const CallRecord record = observer->WaitForEnd();
  CHECK(record.sendings == 0);
  REQUIRE(record.error);
  CHECK(record.error->code == ErrorCode::kUnavailable);
  CHECK(record.knowledge == ExecutionKnowledge::kNothingSent);
}

// Guards against sending a request whose permit expired while connecting.
TEST_CASE("a call that is withdrawn when connected sends no byte") {
  ScriptedServer server({[](ScriptedConnection& it) { it.ReadRequest(); }});
  CurlUpstreamClient client(FastSettings(), 1);
  auto observer = std::make_shared<RecordingObserver>(false);
  client.Start(EngineCallTo(server.address()), observer);
  const CallRecord record = observer->WaitForEnd();
  CHECK(record.sendings == 1);
  REQUIRE(record.error);
  CHECK(record.error->code == ErrorCode::kCancelled);
  CHECK(record.knowledge == ExecutionKnowledge::kNothingSent);
  CHECK(server.Requests().empty());
}

// Guards against header injection through a caller's values.
TEST_CASE("a call with a line feed in a header is not sent") {
  ScriptedServer server({});
  CurlUpstreamClient client(FastSettings(), 1);
  auto observer = std::make_shared<RecordingObserver>();
  UpstreamCall call = EngineCallTo(server.address());
  call.headers.push_back({"Idempotency-Key", "a\r\nX-Not-Executed: 1"});
  client.Start(call, observer);
  const CallRecord record = observer->WaitForEnd();
  REQUIRE(record.error);
  CHECK(record.error->code == ErrorCode::kInvalidArgument);
  CHECK(record.knowledge == ExecutionKnowledge::kNothingSent);
  CHECK(server.Requests().empty());
}

// Guards against reporting an engine crash as a lost connection, so that the
// request would never be suspected of causing it.
TEST_CASE("an engine that resets and no longer listens has crashed") {
  ScriptedServer* server = nullptr;
  ScriptedServer listening({[&server](ScriptedConnection& it) {
    it.ReadRequest();
    it.Write(std::string(kHead) + Event(0));
    server->StopListening();
    it.ResetOnClose();
  }});
  server = &listening;
  CurlUpstreamClient client(FastSettings(), 1);
  auto observer = std::make_shared<RecordingObserver>();
  client.Start(EngineCallTo(listening.address()), observer);
  const CallRecord record = observer->WaitForEnd();
  REQUIRE(record.error);
  CHECK(record.error->code == ErrorCode::kPeerCrashed);
  CHECK(record.knowledge == ExecutionKnowledge::kMaybeExecuted);
}

// Guards against a cancel that only closes the connection and leaves the engine
// computing, and against races between calling threads.
TEST_CASE("cancels and pauses from other threads end each call once") {
  constexpr std::uint64_t kCalls = 8;
  const Script endless = AnswerAndHold(std::string(kHead) + Event(0));
  ScriptedServer server(std::vector<Script>(kCalls, endless));
  CurlUpstreamClient client(FastSettings(), 1);
  std::vector<std::shared_ptr<RecordingObserver>> observers;
  std::vector<std::thread> threads;
  for (std::uint64_t i = 0; i < kCalls; ++i) {
    observers.push_back(std::make_shared<RecordingObserver>());
    UpstreamCall call = EngineCallTo(server.address());
    call.id.sequence = i;
    call.gap_time_limit = milliseconds(10000);
    client.Start(call, observers.back());
  }
  for (std::uint64_t i = 0; i < kCalls; ++i) {
    threads.emplace_back([&client, &observers, i] {
      observers[i]->WaitFor(
          [](const CallRecord& it) { return !it.data.empty(); });
      client.SetPaused({.sequence = i}, true);
      client.Cancel({.sequence = i});
      client.Cancel({.sequence = i});
      client.DumpState();
    });
  }
  for (auto& it : threads) {
    it.join();
  }
  for (const auto& it : observers) {
    const CallRecord record = it->WaitForEnd();
    CHECK(record.ends == 1);
    REQUIRE(record.error);
    CHECK(record.error->code == ErrorCode::kCancelled);
  }
  CHECK(WaitUntil([&server] {
    const auto requests = server.Requests();
    return std::count_if(requests.begin(), requests.end(),
                         [](const std::string& it) {
                           return it.compare(0, 6, "DELETE") == 0;
                         }) == kCalls;
  }));
}

}  // namespace
}  // namespace flamingogauge
