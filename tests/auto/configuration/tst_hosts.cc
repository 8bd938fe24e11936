#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "libs/kernel/plugin_manager.h"
#include "libs/services/document_editor.h"
#include "libs/services/document_source.h"
#include "libs/services/membership_view.h"
#include "plugins/configuration/configuration_plugin.h"
#include "plugins/peers/peers_plugin.h"
#include "plugins/platform/platform_plugin.h"
#include "tests/auto/document/sample_document.h"
#include "tests/fakes/fake_platform/fake_platform.h"
#include "tests/fakes/fake_platform/load_objects.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr std::chrono::seconds kGenerousWait{15};

// One host with the real plugins, on loopback.
class TestHost {
 public:
  TestHost(const std::string& name,
           const std::string& platform,
           std::vector<std::string> seeds) {
    manager_.Add(std::make_unique<PlatformPlugin>(PlatformSettings{
        .address = platform, .call_time_limit = milliseconds(500)}));
    manager_.Add(std::make_unique<PeersPlugin>(
        PeersSettings{.host = name, .seeds = std::move(seeds)}));
    manager_.Add(std::make_unique<ConfigurationPlugin>(
        ConfigurationSettings{.initial_document_text = kSampleDocument,
                              .watch_time_limit = milliseconds(2000)}));
    const Result<void> started = manager_.Start();
    REQUIRE(started.has_value());
    source_ = manager_.registry()
                  .Find<DocumentSource>(DocumentSource::kServiceName)
                  .value();
  }
  TestHost(const TestHost&) = delete;
  TestHost& operator=(const TestHost&) = delete;
  ~TestHost() { CHECK(manager_.Shutdown(milliseconds(10000))); }

  std::string peer_address() {
    return manager_.registry()
        .Find<MembershipView>(MembershipView::kServiceName)
        .value()
        ->Self()
        .peer_address;
  }

  // Waits for a revision; returns false after kGenerousWait.
  bool WaitFor(std::uint64_t revision) {
    auto reached = std::make_shared<std::promise<void>>();
    auto future = reached->get_future();
    source_->Subscribe([reached, revision, done = false](
                           const std::shared_ptr<const Document>& it) mutable {
      if (!done && it->revision >= revision) {
        done = true;
        reached->set_value();
      }
    });
    return future.wait_for(kGenerousWait) == std::future_status::ready;
  }

  Result<EditOutcome> Apply(SectionEdit edit) {
    auto promise = std::make_shared<std::promise<Result<EditOutcome>>>();
    auto future = promise->get_future();
    manager_.registry()
        .Find<DocumentEditor>(DocumentEditor::kServiceName)
        .value()
        ->Apply(std::move(edit), [promise](Result<EditOutcome> it) {
          promise->set_value(std::move(it));
        });
    REQUIRE(future.wait_for(kGenerousWait) == std::future_status::ready);
    return future.get();
  }

  std::string Dump() const { return manager_.DumpAll(); }

  std::shared_ptr<const Document> Current() { return source_->Current(); }

 private:
  PluginManager manager_;
  DocumentSource* source_ = nullptr;
};

// Guards against integration faults: in the platform's protocol, the payloads
// between hosts, and the order of start and shutdown.
TEST_CASE("Two hosts share edits, and a third starts without the platform") {
  FakePlatform platform;
  TestHost first("h1", platform.address(), {});
  REQUIRE(first.WaitFor(1));
  TestHost second("h2", platform.address(), {first.peer_address()});
  REQUIRE(second.WaitFor(1));
  platform.SetFaults({.lost_answers = 3});
  const auto outcome = second.Apply({.section = "policy",
                                     .text = R"({"goodput_weight": 7})",
                                     .expected_revision = 1,
                                     .author = "lead"});
  REQUIRE(outcome.has_value());
  CHECK(outcome.value().revision == 2);
  REQUIRE(first.WaitFor(2));
  CHECK(first.Current()->policy.goodput_weight == 7);
  platform.SetFaults({.outage = true});
  TestHost third("h3", platform.address(), {first.peer_address()});
  REQUIRE(third.WaitFor(2));
  CHECK(third.Current()->policy.goodput_weight == 7);
}

// Guards against hosts that do not watch the store and are not told of new
// revisions by the heartbeats of those that do.
TEST_CASE("Hosts that do not watch learn of an edit from their peers") {
  FakePlatform platform;
  std::vector<std::unique_ptr<TestHost>> hosts;
  std::vector<std::string> seeds;
  for (const char* name : {"h1", "h2", "h3", "h4"}) {
    hosts.push_back(
        std::make_unique<TestHost>(name, platform.address(), seeds));
    seeds = {hosts.front()->peer_address()};
    REQUIRE(hosts.back()->WaitFor(1));
  }
  const auto deadline = std::chrono::steady_clock::now() + kGenerousWait;
  const auto count_watchers = [&hosts] {
    return std::count_if(hosts.begin(), hosts.end(), [](const auto& it) {
      return it->Dump().find(R"("watching":true)") != std::string::npos;
    });
  };
  while (count_watchers() != 2 && std::chrono::steady_clock::now() < deadline) {
    std::this_thread::sleep_for(milliseconds(50));
  }
  REQUIRE(count_watchers() == 2);
  const auto start = std::chrono::steady_clock::now();
  REQUIRE(hosts[0]
              ->Apply({.section = "policy",
                       .text = R"({"goodput_weight": 7})",
                       .expected_revision = 1,
                       .author = "lead"})
              .value()
              .revision == 2);
  for (const auto& it : hosts) {
    REQUIRE(it->WaitFor(2));
  }
  MESSAGE("in force on 4 hosts after "
          << std::chrono::duration_cast<milliseconds>(
                 std::chrono::steady_clock::now() - start)
                 .count()
          << " ms");
}

// Guards against a fake platform that loads a document in another form than
// hosts write it.
TEST_CASE("A host follows the document that the fake platform has loaded") {
  FakePlatform platform;
  const auto objects =
      LoadObjects(std::string(FLAMINGOGAUGE_DOCS) + "/examples/jernpleje.json");
  REQUIRE(objects.has_value());
  platform.Load(objects.value());
  TestHost host("h1", platform.address(), {});
  REQUIRE(host.WaitFor(1));
  CHECK(host.Current()->upstreams.size() == 21);
}

// Guards against a host that cannot take the first section of a document, and
// against a start that needs a document in the store.
TEST_CASE("A deployment without a document accepts its first section") {
  FakePlatform platform;
  PluginManager manager;
  manager.Add(std::make_unique<PlatformPlugin>(
      PlatformSettings{.address = platform.address()}));
  manager.Add(std::make_unique<ConfigurationPlugin>(ConfigurationSettings{}));
  REQUIRE(manager.Start().has_value());
  std::promise<Result<EditOutcome>> edited;
  manager.registry()
      .Find<DocumentEditor>(DocumentEditor::kServiceName)
      .value()
      ->Apply({.section = "tiers",
               .text = R"([{"name": "only"}])",
               .expected_revision = 0,
               .author = "business"},
              [&](Result<EditOutcome> it) { edited.set_value(std::move(it)); });
  CHECK(edited.get_future().get().value().revision == 1);
  CHECK(manager.Shutdown(milliseconds(10000)));
}

}  // namespace
}  // namespace flamingogauge
