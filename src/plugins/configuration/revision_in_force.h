#ifndef FLAMINGOGAUGE_PLUGINS_CONFIGURATION_REVISION_IN_FORCE_H_
#define FLAMINGOGAUGE_PLUGINS_CONFIGURATION_REVISION_IN_FORCE_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "libs/document/document.h"
#include "libs/document/document_json.h"
#include "libs/document/manifest.h"
#include "libs/kernel/error.h"

namespace flamingogauge {

// Texts of chunks by their hash; revisions share unchanged chunks.
using ChunkTexts =
    std::unordered_map<std::string, std::shared_ptr<const std::string>>;

// The workspaces of one chunk, as a part of Document::workspaces.
struct WorkspaceRange {
  std::size_t begin = 0;
  std::size_t count = 0;
};

// An accepted revision with its manifest, chunks and document. Immutable once
// loaded.
struct LoadedRevision {
  Manifest manifest;
  std::string manifest_text;
  ChunkTexts chunks;
  std::shared_ptr<const Document> document;
  // By the hash of the chunk.
  std::unordered_map<std::string, WorkspaceRange> workspace_ranges;
};

// Reads the document of a revision whose manifest and chunks are complete.
// Workspaces in chunks that `previous` has too are copied from it; it may be
// null. Error: kInternal when this program cannot read the revision.
Result<void> ReadRevision(LoadedRevision& revision,
                          const LoadedRevision* previous);

// Joins the chunks of each section; all of them must be present.
SectionTexts JoinSectionChunks(const Manifest& manifest,
                               const ChunkTexts& chunks);

// Holds the revision in force, whose number never decreases (I8). Listeners and
// Set are used on the configuration thread; Current is safe from any thread.
class RevisionInForce {
 public:
  using Listener = std::function<void(std::shared_ptr<const Document>)>;

  std::shared_ptr<const LoadedRevision> Current() const;

  // 0 when there is none.
  std::uint64_t Number() const;

  // Puts a revision in force if it is newer than the current one, and calls
  // the listeners. Returns false when it is not newer.
  bool Set(std::shared_ptr<const LoadedRevision> revision);

  void AddListener(Listener listener);

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const LoadedRevision> current_;
  std::vector<Listener> listeners_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_CONFIGURATION_REVISION_IN_FORCE_H_
