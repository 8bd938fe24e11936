#ifndef FLAMINGOGAUGE_PLUGINS_CONFIGURATION_REVISION_LOADER_H_
#define FLAMINGOGAUGE_PLUGINS_CONFIGURATION_REVISION_LOADER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libs/document/manifest.h"
#include "plugins/configuration/core_context.h"

namespace flamingogauge {

// Loads the chunks that a manifest lists. Chunks of the revision in force are
// reused; the others are fetched from a peer or, failing that, from the store.
// The loader lives until its callback has run.
class RevisionLoader : public std::enable_shared_from_this<RevisionLoader> {
 public:
  using Callback =
      std::function<void(Result<std::shared_ptr<const LoadedRevision>>)>;

  // `source` is the host that is asked for chunks first, or empty. Errors:
  // kUnavailable when chunks could not be fetched in time, kInternal when the
  // revision cannot be read by this program.
  static void Load(CoreContext& context,
                   std::string manifest_text,
                   HostId source,
                   Callback callback);

 private:
  RevisionLoader(CoreContext& context, HostId source, Callback callback);

  void Start(std::string manifest_text);
  void FetchFromPeer();
  void OnPeerReply(const Result<std::string>& payload);
  void FetchFromStore();
  void OnStoreAnswer(const std::string& hash, Result<StoredObject> object);
  bool AcceptMissingChunk(std::string text);
  void Assemble();
  void Finish(Result<std::shared_ptr<const LoadedRevision>> result);

  CoreContext& context_;
  HostId source_;
  Callback callback_;
  std::shared_ptr<LoadedRevision> revision_;
  // Hashes of the chunks that are not loaded yet.
  std::vector<std::string> missing_;
  std::size_t in_flight_ = 0;
  MonotonicTime deadline_;
  Backoff backoff_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_CONFIGURATION_REVISION_LOADER_H_
