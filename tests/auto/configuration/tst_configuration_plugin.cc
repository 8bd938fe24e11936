#include <doctest/doctest.h>

#include <future>
#include <memory>
#include <string>

#include "libs/kernel/plugin_manager.h"
#include "libs/services/document_editor.h"
#include "libs/services/document_source.h"
#include "plugins/configuration/built_in_document.h"
#include "plugins/configuration/configuration_messages.h"
#include "plugins/configuration/configuration_plugin.h"
#include "plugins/platform/platform_plugin.h"

namespace flamingogauge {
namespace {

// Guards against a plugin that does not serve a document on a single host, and
// against a shutdown that hangs.
TEST_CASE("ConfigurationPlugin serves the built-in document and edits") {
  PluginManager manager;
  manager.Add(std::make_unique<PlatformPlugin>(PlatformSettings{}));
  manager.Add(std::make_unique<ConfigurationPlugin>(ConfigurationSettings{
      .initial_document_text = BuiltInDocument("127.0.0.1:1")}));
  const Result<void> started = manager.Start();
  REQUIRE(started.has_value());
  auto* source = manager.registry()
                     .Find<DocumentSource>(DocumentSource::kServiceName)
                     .value();
  auto* editor = manager.registry()
                     .Find<DocumentEditor>(DocumentEditor::kServiceName)
                     .value();
  auto first = std::make_shared<std::promise<std::uint64_t>>();
  source->Subscribe([first](const std::shared_ptr<const Document>& it) {
    if (it->revision == 1) {
      first->set_value(it->upstreams.size());
    }
  });
  auto ready = first->get_future();
  REQUIRE(ready.wait_for(std::chrono::seconds(10)) ==
          std::future_status::ready);
  CHECK(ready.get() == 1);
  std::promise<Result<EditOutcome>> edited;
  editor->Apply(
      {.section = "policy",
       .text = "{}",
       .expected_revision = 1,
       .author = "lead"},
      [&](Result<EditOutcome> it) { edited.set_value(std::move(it)); });
  // The defaults are in force already, so that nothing changes.
  CHECK(edited.get_future().get().value().revision == 1);
  CHECK(manager.Shutdown(std::chrono::milliseconds(5000)));
  CHECK(source->Current()->revision == 1);
}

// Guards against a start with settings or a document that are not valid.
TEST_CASE("ConfigurationPlugin refuses invalid settings") {
  struct Row {
    ConfigurationSettings settings;
    std::string expected;
  };
  for (const Row& row : {
           Row{{.initial_document = "/nonexistent"}, "--initial_document="},
           Row{{.initial_document_text = "{}"}, "1 to 5 tiers"},
           Row{{.edit_time_limit = std::chrono::milliseconds(1)},
               "--configuration_edit_time_limit_ms=1"},
           Row{{.boot_round_time_limit = std::chrono::milliseconds(99999)},
               "--configuration_boot_round_ms=99999"},
           Row{{.watch_time_limit = std::chrono::milliseconds(0)},
               "--configuration_watch_ms=0"},
       }) {
    PluginManager manager;
    manager.Add(std::make_unique<PlatformPlugin>(PlatformSettings{}));
    manager.Add(std::make_unique<ConfigurationPlugin>(row.settings));
    const Result<void> started = manager.Start();
    REQUIRE_FALSE(started.has_value());
    CHECK(started.error().message.find(row.expected) != std::string::npos);
  }
}

// Guards against payloads of a faulty peer that end the process.
TEST_CASE("Malformed peer payloads are refused") {
  const std::string reply =
      EncodePeerReply({.manifest = "m", .chunks = {"a", std::string(9, '\0')}});
  const auto decoded = DecodePeerReply(reply);
  REQUIRE(decoded.has_value());
  CHECK(decoded->chunks.at(1).size() == 9);
  CHECK(DecodePeerRequest(EncodePeerRequest({.chunk_hashes = {"x"}}))
            ->chunk_hashes.at(0) == "x");
  CHECK_FALSE(DecodePeerReply("").has_value());
  CHECK_FALSE(DecodePeerReply(std::string(64, '\xff')).has_value());
  CHECK_FALSE(DecodePeerRequest(reply.substr(0, 16)).has_value());
}

}  // namespace
}  // namespace flamingogauge
