#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>

#include "plugins/upstreams/curl_upstream_client.h"
#include "tests/auto/upstreams/recording_observer.h"
#include "tests/fakes/fake_engine/fake_engine.h"
#include "tests/fakes/fake_engine/fake_text.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr const char* kPrompt = "how deep is the stump";

UpstreamCall Chat(const std::string& address, int tokens) {
  const nlohmann::json body{
      {"model", "m"},
      {"messages", {{{"role", "user"}, {"content", kPrompt}}}},
      {"max_tokens", tokens}};
  return {.id = {.sequence = 1},
          .upstream = "engine-1",
          .address = address,
          .path = "/v1/chat/completions",
          .body = body.dump(),
          .is_engine = true,
          .gap_time_limit = milliseconds(300)};
}

std::string TextOf(const CallRecord& record) {
  std::string text;
  for (const std::string& it : record.data) {
    const auto json = nlohmann::json::parse(it);
    text += json["choices"][0]["delta"].value("content", "");
  }
  return text;
}

nlohmann::json Executions(FakeEngine& engine) {
  return nlohmann::json::parse(engine.state().ExecutionsJson());
}

// Guards against responses that differ from the engine's output, and against a
// second execution, when connections stall or close repeatedly.
TEST_CASE("an answer survives silent and broken connections") {
  struct Row {
    std::string name;
    bool silence;
    FakeEngineFaults faults;
  };
  const std::vector<Row> rows{
      {"no fault", false, {}},
      {"open connections go silent", true, {}},
      {"each connection ends after 30 events", false, {.hang_up_after = 30}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    FakeEngine engine({.decode_tokens_per_second = 500}, 0);
    engine.state().SetFaults(row.faults);
    CurlUpstreamClient client({}, 1);
    auto observer = std::make_shared<RecordingObserver>();
    client.Start(Chat(engine.address(), 100), observer);
    if (row.silence) {
      observer->WaitFor(
          [](const CallRecord& it) { return it.data.size() > 5; });
      engine.state().SilenceOpenStreams();
    }
    const CallRecord record = observer->WaitForEnd();
    CHECK(record.complete);
    CHECK(TextOf(record) == FakeAnswer(kPrompt, 100));
    CHECK(Executions(engine)["total"] == 1);
  }
}

// Guards against engines that keep computing abandoned responses.
TEST_CASE("a cancel reaches the engine") {
  FakeEngine engine({.decode_tokens_per_second = 20}, 0);
  CurlUpstreamClient client({}, 1);
  auto observer = std::make_shared<RecordingObserver>();
  client.Start(Chat(engine.address(), 1000), observer);
  observer->WaitFor([](const CallRecord& it) { return !it.data.empty(); });
  client.Cancel({.sequence = 1});
  const CallRecord record = observer->WaitForEnd();
  REQUIRE(record.error);
  CHECK(record.error->code == ErrorCode::kCancelled);
  CHECK(record.knowledge == ExecutionKnowledge::kMaybeExecuted);
  CHECK(WaitUntil([&] { return Executions(engine)["cancelled"] == 1; }));
  CHECK(Executions(engine)["running"] == 0);
}

// Guards against a total time limit that leaves the engine running.
TEST_CASE("a call over its total time limit is cancelled at the engine") {
  FakeEngine engine({.decode_tokens_per_second = 20}, 0);
  CurlUpstreamClient client({}, 1);
  auto observer = std::make_shared<RecordingObserver>();
  UpstreamCall call = Chat(engine.address(), 1000);
  call.total_time_limit = milliseconds(200);
  client.Start(call, observer);
  const CallRecord record = observer->WaitForEnd();
  REQUIRE(record.error);
  CHECK(record.error->code == ErrorCode::kTimeout);
  CHECK(WaitUntil([&] { return Executions(engine)["cancelled"] == 1; }));
}

// Guards against unbounded memory while a caller does not read, and against
// treating a paused connection as stalled.
TEST_CASE("a paused answer stops and then continues whole") {
  FakeEngine engine({.max_concurrency = 4}, 0);
  CurlUpstreamClient client({}, 1);
  auto observer = std::make_shared<RecordingObserver>();
  constexpr int kTokens = 20000;
  client.Start(Chat(engine.address(), kTokens), observer);
  client.SetPaused({.sequence = 1}, true);
  // Longer than the gap time limit; the client must not resume the stream.
  const auto resumed_at = std::chrono::steady_clock::now() + milliseconds(700);
  WaitUntil([&] { return std::chrono::steady_clock::now() > resumed_at; });
  const CallRecord paused =
      observer->WaitFor([](const CallRecord&) { return true; });
  CHECK(paused.ends == 0);
  CHECK(paused.data.size() < kTokens / 10);
  client.SetPaused({.sequence = 1}, false);
  const CallRecord record = observer->WaitForEnd();
  CHECK(record.complete);
  CHECK(TextOf(record) == FakeAnswer(kPrompt, kTokens));
  CHECK(Executions(engine)["resumed"] == 0);
}

// Guards against a fake engine whose refusal does not follow the protocol.
TEST_CASE("a full engine refuses before executing") {
  FakeEngine engine({.max_concurrency = 0}, 0);
  CurlUpstreamClient client({}, 1);
  auto observer = std::make_shared<RecordingObserver>();
  client.Start(Chat(engine.address(), 5), observer);
  const CallRecord record = observer->WaitForEnd();
  REQUIRE(record.error);
  CHECK(record.knowledge == ExecutionKnowledge::kNotExecuted);
  CHECK(Executions(engine)["total"] == 0);
}

// Guards against an unbounded number of concurrent calls.
TEST_CASE("calls over the limit fail without being sent") {
  FakeEngine engine({.decode_tokens_per_second = 20}, 0);
  CurlUpstreamClient client({.max_calls = 2}, 1);
  std::vector<std::shared_ptr<RecordingObserver>> observers;
  for (std::uint64_t i = 0; i < 3; ++i) {
    observers.push_back(std::make_shared<RecordingObserver>());
    UpstreamCall call = Chat(engine.address(), 1000);
    call.id.sequence = i;
    client.Start(call, observers.back());
  }
  const CallRecord record = observers[2]->WaitForEnd();
  REQUIRE(record.error);
  CHECK(record.error->code == ErrorCode::kResourceExhausted);
  CHECK(record.knowledge == ExecutionKnowledge::kNothingSent);
}

}  // namespace
}  // namespace flamingogauge
