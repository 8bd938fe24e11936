#ifndef FLAMINGOGAUGE_PLUGINS_CONFIGURATION_EDIT_SESSION_H_
#define FLAMINGOGAUGE_PLUGINS_CONFIGURATION_EDIT_SESSION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "libs/document/chunks.h"
#include "libs/document/revision_rules.h"
#include "libs/services/document_editor.h"
#include "plugins/configuration/core_context.h"

namespace flamingogauge {

struct EditRequest {
  // The texts of the sections that change: one for an operator's edit, all for
  // a first document.
  SectionTexts sections;
  // The section whose conflicts are checked; empty for a first document, which
  // is published only if the store has none.
  std::string section;
  std::uint64_t expected_revision = 0;
  std::string author;
};

// Executes one edit: validates it against the newest accepted revision, writes
// the chunks and updates the manifest. If the store's answer to the update is
// lost, reads the manifest to determine the outcome.
class EditSession : public std::enable_shared_from_this<EditSession> {
 public:
  using Callback = DocumentEditor::EditCallback;

  static void Run(CoreContext& context, EditRequest request, Callback callback);

 private:
  EditSession(CoreContext& context, EditRequest request, Callback callback);

  void ReadManifest();
  void OnManifest(Result<StoredObject> object);
  bool ResolveUnknownOutcome(const Manifest& manifest,
                             const StoredObject& object);
  void LoadBase();
  void PrepareNextRevision();
  void WriteChunks();
  void OnChunkWritten(const Result<StoredObject>& written);
  void UpdateManifest();
  void OnUpdated(const Result<StoredObject>& updated);
  void ActivateNextRevision();

  void Accept(std::uint64_t revision);
  void Refuse(EditOutcome outcome);
  void Fail(Error error);
  // Starts again from reading the manifest, or fails after the time limit.
  void Retry(const Error& error);

  CoreContext& context_;
  const EditRequest request_;
  Callback callback_;
  const std::string edit_id_;
  const MonotonicTime deadline_;
  Backoff backoff_;

  // The accepted revision on which the edit is made; null for the first one.
  std::shared_ptr<const LoadedRevision> base_;
  std::string base_text_;
  std::uint64_t base_version_ = 0;
  std::shared_ptr<LoadedRevision> next_;
  // Chunks that may not be in the store yet.
  std::vector<Chunk> unwritten_;
  std::size_t in_flight_ = 0;
  Error write_error_;
  std::size_t failed_writes_ = 0;

  // True while an update of `attempted_version_` may have taken effect or may
  // still do so.
  bool maybe_accepted_ = false;
  std::uint64_t attempted_version_ = 0;
  std::uint64_t attempted_revision_ = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_CONFIGURATION_EDIT_SESSION_H_
