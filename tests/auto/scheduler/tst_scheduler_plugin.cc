#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "libs/kernel/bounded_ring.h"
#include "libs/kernel/plugin_manager.h"
#include "libs/services/document_source.h"
#include "plugins/scheduler/scheduler_plugin.h"

namespace flamingogauge {
namespace {

constexpr std::chrono::seconds kTestTimeout{10};

class FixedDocument : public Plugin, public DocumentSource {
 public:
  explicit FixedDocument(Document document)
      : document_(std::make_shared<const Document>(std::move(document))) {}
  std::string_view Name() const override { return "configuration"; }
  Result<void> Initialize(ServiceRegistry& registry) override {
    return registry.Register<DocumentSource>(kServiceName, this);
  }
  Result<void> ExtensionsInitialized(ServiceRegistry&) override {
    return boost::outcome_v2::success();
  }
  void AboutToShutdown(std::function<void()> done) override { done(); }
  std::string DumpState() const override { return "{}"; }
  std::shared_ptr<const Document> Current() const override { return document_; }
  void Subscribe(Listener listener) override { listener(document_); }

 private:
  std::shared_ptr<const Document> document_;
};

Document OneUpstream(std::uint32_t concurrency) {
  Document document;
  document.revision = 1;
  document.tiers = {{.name = "urgent"}};
  document.models = {{.id = "m"}};
  document.upstreams = {{.id = "u1",
                         .targets = {"m"},
                         .address = "127.0.0.1:1",
                         .token_capacity = 100000,
                         .max_concurrency = concurrency}};
  return document;
}

PermitRequest RequestFor(std::uint64_t sequence, const char* target) {
  return {.id = {.sequence = sequence},
          .target = target,
          .workspace = "w",
          .prompt_tokens = 10,
          .max_output_tokens = 10,
          .time_left = std::chrono::milliseconds(60000)};
}

// Guards against more permits than an upstream's concurrency, a slot that is
// not reused after its outcome, and requests that hang for a target without
// upstreams.
TEST_CASE("SchedulerPlugin grants, passes a slot on and refuses") {
  BoundedRing<Permit> granted(16);
  BoundedRing<Refusal> refused(16);
  PluginManager manager;
  manager.Add(std::make_unique<FixedDocument>(OneUpstream(1)));
  auto plugin = std::make_unique<SchedulerPlugin>(SchedulerSettings{});
  SchedulerPlugin& broker = *plugin;
  manager.Add(std::move(plugin));
  broker.SetListener(
      {.on_granted = [&](Permit it) { CHECK(granted.TryPush(std::move(it))); },
       .on_refused =
           [&](RequestId, Refusal it) {
             CHECK(refused.TryPush(std::move(it)));
           }});
  REQUIRE(manager.Start().has_value());
  const auto deadline = std::chrono::steady_clock::now() + kTestTimeout;

  broker.Request(RequestFor(1, "m"));
  broker.Request(RequestFor(2, "m"));
  const auto first = granted.PopUntil(deadline);
  REQUIRE(first.has_value());
  CHECK(first->upstream == "u1");
  CHECK(first->expires_at > std::chrono::steady_clock::now());
  broker.Request(RequestFor(3, "absent"));
  const auto refusal = refused.PopUntil(deadline);
  REQUIRE(refusal.has_value());
  CHECK(refusal->kind == RefusalKind::kUnavailable);
  CHECK(granted.Size() == 0);

  broker.Report({.permit = first->id,
                 .request = first->request,
                 .upstream = "u1",
                 .end = PermitEnd::kCompleted});
  const auto second = granted.PopUntil(deadline);
  REQUIRE(second.has_value());
  CHECK(second->request.sequence == 2);
  broker.Report({.permit = second->id,
                 .request = second->request,
                 .upstream = "u1",
                 .end = PermitEnd::kUnused});
  CHECK(manager.Shutdown(std::chrono::milliseconds(10000)));
}

// Guards against accepting a setting outside its range, and against an error
// that does not name the flag.
TEST_CASE("CheckSchedulerSettings names the flag") {
  SchedulerSettings settings;
  CHECK(CheckSchedulerSettings(settings).has_value());
  settings.tick = std::chrono::milliseconds(0);
  const Result<void> checked = CheckSchedulerSettings(settings);
  REQUIRE_FALSE(checked.has_value());
  CHECK(checked.error().message ==
        "--scheduler_tick_ms is 0, allowed is 1 to 1000");
}

}  // namespace
}  // namespace flamingogauge
