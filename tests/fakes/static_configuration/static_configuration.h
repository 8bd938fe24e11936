#ifndef FLAMINGOGAUGE_TESTS_FAKES_STATIC_CONFIGURATION_STATIC_CONFIGURATION_H_
#define FLAMINGOGAUGE_TESTS_FAKES_STATIC_CONFIGURATION_STATIC_CONFIGURATION_H_

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "libs/kernel/plugin.h"
#include "libs/services/document_editor.h"
#include "libs/services/document_source.h"

namespace flamingogauge {

// Replaces the configuration plugin and provides a fixed document set by the
// test.
class StaticConfiguration : public Plugin,
                            public DocumentSource,
                            public DocumentEditor {
 public:
  explicit StaticConfiguration(Document document)
      : document_(std::make_shared<const Document>(std::move(document))) {}

  std::string_view Name() const override { return "configuration"; }
  Result<void> Initialize(ServiceRegistry& registry) override {
    Result<void> registered =
        registry.Register<DocumentSource>(DocumentSource::kServiceName, this);
    return registered ? registry.Register<DocumentEditor>(
                            DocumentEditor::kServiceName, this)
                      : registered;
  }
  Result<void> ExtensionsInitialized(ServiceRegistry& /*registry*/) override {
    return boost::outcome_v2::success();
  }
  void AboutToShutdown(std::function<void()> done) override { done(); }
  std::string DumpState() const override { return "{}"; }

  std::shared_ptr<const Document> Current() const override { return document_; }
  void Subscribe(Listener listener) override { listener(document_); }

  // Rejects edits of section "bad" as invalid and edits that do not expect
  // revision 1 as conflicts; accepts all others.
  void Apply(SectionEdit edit, EditCallback callback) override {
    if (edit.section == "bad") {
      callback(EditOutcome{.faults = {{.section = "bad", .path = "/0"}}});
    } else if (edit.expected_revision != 1) {
      callback(EditOutcome{.conflict = "expected 1"});
    } else {
      callback(EditOutcome{.revision = 2});
    }
  }
  void GetText(std::uint64_t revision, TextCallback callback) override {
    callback("{\"revision\":" + std::to_string(revision) + "}");
  }
  void GetHistory(TextCallback callback) override { callback("[]"); }

 private:
  const std::shared_ptr<const Document> document_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_FAKES_STATIC_CONFIGURATION_STATIC_CONFIGURATION_H_
