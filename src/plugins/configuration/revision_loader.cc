#include "plugins/configuration/revision_loader.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "libs/document/chunks.h"
#include "plugins/configuration/configuration_messages.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLoadTimeLimit{10000};
constexpr milliseconds kPeerCallTimeLimit{1000};
constexpr milliseconds kInitialRetryDelay{100};
constexpr milliseconds kMaxRetryDelay{2000};
// Chunks requested in one call to a peer, and concurrent reads from the store.
constexpr std::size_t kChunksPerCall = 128;
constexpr std::size_t kParallelReads = 8;

Error LoadError(ErrorCode code, std::string message) {
  return Error{.code = code,
               .step = "load revision",
               .peer = "",
               .message = std::move(message)};
}

}  // namespace

void RevisionLoader::Load(CoreContext& context,
                          std::string manifest_text,
                          HostId source,
                          Callback callback) {
  const std::shared_ptr<RevisionLoader> loader(
      new RevisionLoader(context, std::move(source), std::move(callback)));
  loader->Start(std::move(manifest_text));
}

RevisionLoader::RevisionLoader(CoreContext& context,
                               HostId source,
                               Callback callback)
    : context_(context),
      source_(std::move(source)),
      callback_(std::move(callback)),
      revision_(std::make_shared<LoadedRevision>()),
      deadline_(context.runner->Now() + kLoadTimeLimit),
      backoff_(kInitialRetryDelay, kMaxRetryDelay) {}

void RevisionLoader::Start(std::string manifest_text) {
  std::optional<Manifest> manifest = ReadManifest(manifest_text);
  if (!manifest) {
    Finish(LoadError(ErrorCode::kInternal, "the manifest is malformed"));
    return;
  }
  revision_->manifest = std::move(*manifest);
  revision_->manifest_text = std::move(manifest_text);
  const auto in_force = context_.in_force.Current();
  std::unordered_set<std::string> wanted;
  for (const auto& [name, section] : revision_->manifest.sections) {
    wanted.insert(section.chunks.begin(), section.chunks.end());
  }
  for (const std::string& hash : wanted) {
    if (in_force && in_force->chunks.contains(hash)) {
      revision_->chunks[hash] = in_force->chunks.at(hash);
    } else {
      missing_.push_back(hash);
    }
  }
  FetchFromPeer();
}

void RevisionLoader::FetchFromPeer() {
  if (missing_.empty()) {
    Assemble();
    return;
  }
  if (source_.empty() || context_.transport == nullptr) {
    FetchFromStore();
    return;
  }
  PeerRequest request;
  request.chunk_hashes.assign(
      missing_.begin(),
      missing_.begin() + static_cast<std::ptrdiff_t>(
                             std::min(missing_.size(), kChunksPerCall)));
  auto self = shared_from_this();
  context_.transport->Call(
      source_, kConfigurationChannel, EncodePeerRequest(request),
      kPeerCallTimeLimit,
      OnRunner<std::string>(context_,
                            [self](const Result<std::string>& payload) {
                              self->OnPeerReply(payload);
                            }));
}

void RevisionLoader::OnPeerReply(const Result<std::string>& payload) {
  std::optional<PeerReply> reply =
      payload ? DecodePeerReply(payload.value()) : std::nullopt;
  const std::size_t before = missing_.size();
  if (reply) {
    for (std::string& it : reply->chunks) {
      AcceptMissingChunk(std::move(it));
    }
  }
  // A peer that supplied no missing chunk is not asked again.
  if (missing_.size() == before) {
    source_.clear();
  }
  FetchFromPeer();
}

// Adds the chunk to the revision if it is missing; returns false otherwise.
bool RevisionLoader::AcceptMissingChunk(std::string text) {
  const std::string hash = HashOfChunk(text);
  const auto it = std::find(missing_.begin(), missing_.end(), hash);
  if (it == missing_.end()) {
    return false;
  }
  missing_.erase(it);
  revision_->chunks[hash] =
      std::make_shared<const std::string>(std::move(text));
  return true;
}

void RevisionLoader::FetchFromStore() {
  auto self = shared_from_this();
  const std::size_t n = std::min(missing_.size(), kParallelReads);
  in_flight_ = n;
  for (std::size_t it = 0; it < n; ++it) {
    const std::string hash = missing_[it];
    context_.store.Get(kChunkPrefix + hash,
                       OnRunner<StoredObject>(
                           context_, [self, hash](Result<StoredObject> object) {
                             self->OnStoreAnswer(hash, std::move(object));
                           }));
  }
}

void RevisionLoader::OnStoreAnswer(const std::string& hash,
                                   Result<StoredObject> object) {
  const bool accepted_chunk =
      object && AcceptMissingChunk(std::move(object.value().value));
  if (accepted_chunk) {
    backoff_.Reset();
  }
  if (--in_flight_ > 0) {
    return;
  }
  if (missing_.empty()) {
    Assemble();
    return;
  }
  if (accepted_chunk) {
    FetchFromStore();
    return;
  }
  if (context_.runner->Now() >= deadline_) {
    Finish(LoadError(ErrorCode::kUnavailable,
                     std::to_string(missing_.size()) + " chunks of revision " +
                         std::to_string(revision_->manifest.revision) +
                         " could not be read; chunk " + hash + ": " +
                         (object ? "content does not match its hash"
                                 : object.error().message)));
    return;
  }
  auto self = shared_from_this();
  RunAfter(context_, backoff_.Next(context_),
           [self] { self->FetchFromStore(); });
}

void RevisionLoader::Assemble() {
  const Result<void> read =
      ReadRevision(*revision_, context_.in_force.Current().get());
  if (!read) {
    Finish(read.error());
    return;
  }
  Finish(std::shared_ptr<const LoadedRevision>(std::move(revision_)));
}

void RevisionLoader::Finish(
    Result<std::shared_ptr<const LoadedRevision>> result) {
  const Callback callback = std::move(callback_);
  callback(std::move(result));
}

}  // namespace flamingogauge
