#ifndef FLAMINGOGAUGE_PLUGINS_CONFIGURATION_CONFIGURATION_CORE_H_
#define FLAMINGOGAUGE_PLUGINS_CONFIGURATION_CONFIGURATION_CORE_H_

#include <atomic>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <utility>

#include "libs/services/document_editor.h"
#include "libs/services/document_source.h"
#include "plugins/configuration/core_context.h"
#include "plugins/configuration/edit_session.h"
#include "plugins/configuration/manifest_follower.h"

namespace flamingogauge {

struct CoreOptions {
  std::shared_ptr<TaskRunner> runner;
  // Must outlive the runner's last task.
  ObjectStore* store = nullptr;
  ConfigurationSettings settings;
  // Seeds edit ids and jitter.
  std::uint64_t seed = 0;
  std::function<std::chrono::seconds()> wall_clock;
};

// Maintains the configuration document of one host: follows accepted revisions,
// applies edits and answers peers. The plugin runs it on a thread, the
// randomised tests in virtual time.
class ConfigurationCore : public DocumentSource, public DocumentEditor {
 public:
  explicit ConfigurationCore(CoreOptions options);
  ConfigurationCore(const ConfigurationCore&) = delete;
  ConfigurationCore& operator=(const ConfigurationCore&) = delete;
  ~ConfigurationCore() override = default;

  // Starts to follow the store and, if `transport` and `membership` are not
  // null, the other hosts. Call once, before the runner is used for anything
  // else.
  void Start(PeerTransport* transport, MembershipView* membership);

  std::shared_ptr<const Document> Current() const override;
  void Subscribe(Listener listener) override;
  void Apply(SectionEdit edit, EditCallback callback) override;
  void GetText(std::uint64_t revision, TextCallback callback) override;
  void GetHistory(TextCallback callback) override;

  // Returns the state dump as a JSON object.
  std::string DumpState() const;

 private:
  using QueuedEdit = std::pair<EditRequest, EditCallback>;

  // Posts a task of another plugin to the runner, or calls `refuse` immediately
  // if the limit on such tasks is reached or the runner does not accept it.
  void PostExternal(std::function<void()> task,
                    const std::function<void(Error)>& refuse);
  void AnswerPeer(const std::string& payload,
                  const PeerTransport::ReplyCallback& reply) const;
  void PublishInitialDocument();
  void EnqueueEdit(EditRequest request, EditCallback callback);
  void RunNextEdit();
  void GetOldText(std::uint64_t revision, const TextCallback& callback);

  CoreContext context_;
  ManifestFollower follower_;
  std::deque<QueuedEdit> edits_;
  bool is_editing_ = false;
  bool is_publishing_initial_document_ = false;
  std::atomic<bool> is_membership_check_posted_{false};
  std::atomic<std::size_t> external_tasks_{0};
  std::atomic<std::uint64_t> edits_accepted_{0};
  std::atomic<std::uint64_t> edits_refused_{0};
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_CONFIGURATION_CONFIGURATION_CORE_H_
