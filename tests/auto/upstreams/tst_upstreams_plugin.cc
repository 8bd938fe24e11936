#include <doctest/doctest.h>

#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "libs/services/document_source.h"
#include "plugins/upstreams/curl_upstream_client.h"
#include "plugins/upstreams/echo_upstream_client.h"
#include "plugins/upstreams/upstreams_plugin.h"
#include "tests/auto/upstreams/recording_observer.h"
#include "tests/fakes/fake_engine/fake_engine.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

class FixedDocument : public DocumentSource {
 public:
  explicit FixedDocument(const std::string& engine_address) {
    auto document = std::make_shared<Document>();
    document->revision = 1;
    document->upstreams.push_back({.id = "engine-1",
                                   .targets = {"m"},
                                   .data_centre = "rosenheim",
                                   .address = engine_address});
    document_ = std::move(document);
  }
  std::shared_ptr<const Document> Current() const override { return document_; }
  void Subscribe(Listener listener) override { listener(document_); }

 private:
  std::shared_ptr<const Document> document_;
};

// Guards against schedulers that receive no load or cache events of an engine.
TEST_CASE("load and cache events of the document's engines are delivered") {
  FakeEngine engine({.token_capacity = 777}, 0);
  engine.state().Execute(
      "x", R"({"messages":[{"content":")" + std::string(600, 'p') + R"("}]})",
      {});
  FixedDocument source(engine.address());
  ServiceRegistry registry;
  REQUIRE(
      registry.Register<DocumentSource>(DocumentSource::kServiceName, &source));
  UpstreamsPlugin plugin(
      {.poll_period = milliseconds(20), .data_centre = "rosenheim"});
  REQUIRE(plugin.Initialize(registry));
  REQUIRE(plugin.ExtensionsInitialized(registry));
  const auto client =
      registry.Find<UpstreamClient>(UpstreamClient::kServiceName);
  REQUIRE(client);

  std::mutex mutex;
  std::vector<LoadReport> loads;
  std::vector<CacheEvent> events;
  client.value()->SubscribeLoad([&](const LoadReport& it) {
    std::lock_guard<std::mutex> lock(mutex);
    loads.push_back(it);
  });
  client.value()->SubscribeCache([&](const CacheEvent& it) {
    std::lock_guard<std::mutex> lock(mutex);
    events.push_back(it);
  });
  CHECK(WaitUntil([&] {
    std::lock_guard<std::mutex> lock(mutex);
    return loads.size() > 3 && !events.empty();
  }));
  bool drained = false;
  plugin.AboutToShutdown([&] {
    std::lock_guard<std::mutex> lock(mutex);
    drained = true;
  });
  CHECK(WaitUntil([&] {
    std::lock_guard<std::mutex> lock(mutex);
    return drained;
  }));
  std::lock_guard<std::mutex> lock(mutex);
  CHECK(loads[0].upstream == "engine-1");
  CHECK(loads[0].token_capacity == 777);
  REQUIRE(events.size() == 1);
  CHECK(events[0].stored.size() == 2);
  const auto dump = nlohmann::json::parse(plugin.DumpState());
  CHECK(dump["polled_engines"] == 1);
}

// Guards against settings that disable the client or remove its limits.
TEST_CASE("settings out of range are refused with the flag's name") {
  UpstreamsSettings settings;
  CHECK(CheckUpstreamsSettings(settings));
  settings.max_calls = 0;
  const auto checked = CheckUpstreamsSettings(settings);
  REQUIRE(!checked);
  CHECK(checked.error().message ==
        "--upstreams_max_calls is 0, allowed is 1 to 65536");
}

// Guards against an echo client that violates the observer's call order.
TEST_CASE("the echo client answers with the prompt's words") {
  EchoUpstreamClient client(16);
  auto chat = std::make_shared<RecordingObserver>();
  client.Start({.upstream = "echo",
                .body = R"({"messages":[{"content":"good day"}]})",
                .is_engine = true},
               chat);
  const CallRecord record = chat->WaitForEnd();
  CHECK(record.complete);
  CHECK(record.sendings == 1);
  CHECK(record.status == 200);
  REQUIRE(record.data.size() == 3);
  CHECK(nlohmann::json::parse(
            record.data[1])["choices"][0]["delta"]["content"] == "day ");

  auto refused = std::make_shared<RecordingObserver>(false);
  client.Start({.upstream = "echo"}, refused);
  CHECK(refused->WaitForEnd().knowledge == ExecutionKnowledge::kNothingSent);
}

// Guards against a drain that completes before its calls have ended, and
// against calls accepted while draining.
TEST_CASE("a draining client finishes its calls and accepts no more") {
  FakeEngine engine({.decode_tokens_per_second = 50}, 0);
  CurlUpstreamClient client({}, 1);
  const UpstreamCall call{
      .id = {.sequence = 1},
      .address = engine.address(),
      .path = "/v1/chat/completions",
      .body = R"({"messages":[{"content":"x"}],"max_tokens":10})",
      .is_engine = true};
  auto first = std::make_shared<RecordingObserver>();
  client.Start(call, first);
  first->WaitFor([](const CallRecord& it) { return !it.data.empty(); });
  std::promise<bool> done;
  client.Drain([&] {
    done.set_value(
        first->WaitFor([](const CallRecord&) { return true; }).complete);
  });
  auto second = std::make_shared<RecordingObserver>();
  client.Start(call, second);
  CHECK(second->WaitForEnd().knowledge == ExecutionKnowledge::kNothingSent);
  CHECK(done.get_future().get());
}

}  // namespace
}  // namespace flamingogauge
