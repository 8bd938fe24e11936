#include "plugins/configuration/edit_session.h"

#include <algorithm>
#include <utility>

#include "libs/model/ids.h"
#include "plugins/configuration/revision_loader.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kInitialRetryDelay{50};
constexpr milliseconds kMaxRetryDelay{1000};
constexpr std::size_t kParallelWrites = 8;

std::string MakeEditId(Random& random) {
  return ToString(Incarnation{.high = random.Next(), .low = random.Next()});
}

Error EditError(ErrorCode code, std::string message) {
  return Error{.code = code,
               .step = "edit document",
               .peer = "",
               .message = std::move(message)};
}

// The highest revision that any host is known to have in force.
std::uint64_t HighestKnownRevision(const CoreContext& context) {
  std::uint64_t highest = context.in_force.Number();
  if (context.membership != nullptr) {
    // Keeps the list alive, because the peers thread may publish a new one.
    const std::shared_ptr<const MemberList> members =
        context.membership->Current();
    for (const Member& it : *members) {
      highest = std::max(highest, it.document_revision);
    }
  }
  return highest;
}

}  // namespace

void EditSession::Run(CoreContext& context,
                      EditRequest request,
                      Callback callback) {
  const std::shared_ptr<EditSession> session(
      new EditSession(context, std::move(request), std::move(callback)));
  session->ReadManifest();
}

EditSession::EditSession(CoreContext& context,
                         EditRequest request,
                         Callback callback)
    : context_(context),
      request_(std::move(request)),
      callback_(std::move(callback)),
      edit_id_(MakeEditId(context.random)),
      deadline_(context.runner->Now() + context.settings.edit_time_limit),
      backoff_(kInitialRetryDelay, kMaxRetryDelay) {}

void EditSession::ReadManifest() {
  auto self = shared_from_this();
  context_.store.Get(
      kManifestKey,
      OnRunner<StoredObject>(context_, [self](Result<StoredObject> object) {
        self->OnManifest(std::move(object));
      }));
}

void EditSession::OnManifest(Result<StoredObject> object) {
  base_ = nullptr;
  base_text_.clear();
  base_version_ = 0;
  if (!object && object.error().code != ErrorCode::kNotFound) {
    Retry(object.error());
    return;
  }
  std::uint64_t revision = 0;
  if (object) {
    const std::optional<Manifest> manifest =
        flamingogauge::ReadManifest(object.value().value);
    if (!manifest) {
      Retry(EditError(ErrorCode::kInternal,
                      "the manifest in the store is malformed"));
      return;
    }
    if (ResolveUnknownOutcome(*manifest, object.value())) {
      return;
    }
    revision = manifest->revision;
    base_text_ = std::move(object.value().value);
    base_version_ = object.value().version;
  }
  const std::uint64_t highest = HighestKnownRevision(context_);
  if (revision < highest) {
    Retry(EditError(
        ErrorCode::kUnavailable,
        "the store holds revision " + std::to_string(revision) +
            ", while revision " + std::to_string(highest) +
            " is in force; the store is out of date, edits are rejected"));
    return;
  }
  if (revision == 0) {
    PrepareNextRevision();
  } else if (request_.section.empty()) {
    Accept(revision);
  } else {
    LoadBase();
  }
}

// After an update with an unknown outcome, looks for this edit in the manifest.
// Returns true if the session has ended or ends once the revision is loaded.
bool EditSession::ResolveUnknownOutcome(const Manifest& manifest,
                                        const StoredObject& object) {
  if (!maybe_accepted_) {
    return false;
  }
  if (const auto revision = FindEdit(manifest, edit_id_)) {
    auto self = shared_from_this();
    RevisionLoader::Load(
        context_, object.value, "",
        [self, revision](Result<std::shared_ptr<const LoadedRevision>> it) {
          if (it) {
            self->context_.in_force.Set(it.value());
          }
          self->Accept(*revision);
        });
    return true;
  }
  if (object.version == attempted_version_) {
    // The update may still reach the store. It is sent again with the same
    // expected version, for which at most one update succeeds.
    return false;
  }
  if (manifest.history.back().revision > attempted_revision_) {
    Fail(EditError(ErrorCode::kUnknownOutcome,
                   "cannot determine whether the edit was accepted, because "
                   "the history no longer reaches back to revision " +
                       std::to_string(attempted_revision_)));
    return true;
  }
  // Another update changed the version, so the unanswered one can no longer
  // succeed.
  maybe_accepted_ = false;
  return false;
}

void EditSession::LoadBase() {
  const auto in_force = context_.in_force.Current();
  if (in_force && in_force->manifest_text == base_text_) {
    base_ = in_force;
    PrepareNextRevision();
    return;
  }
  auto self = shared_from_this();
  RevisionLoader::Load(
      context_, base_text_, "",
      [self](Result<std::shared_ptr<const LoadedRevision>> loaded) {
        if (!loaded) {
          self->Retry(loaded.error());
          return;
        }
        const auto current = self->context_.in_force.Current();
        const bool diverged =
            current && Compare(current->manifest, loaded.value()->manifest) ==
                           ManifestRelation::kDiverged;
        if (diverged) {
          self->Fail(EditError(
              ErrorCode::kUnavailable,
              "the document in the store is not a successor of revision " +
                  std::to_string(current->manifest.revision) +
                  ", which is in force on this host; edits are rejected"));
          return;
        }
        self->base_ = loaded.value();
        self->context_.in_force.Set(loaded.value());
        self->PrepareNextRevision();
      });
}

// Validates the edit against the base revision and prepares the next one.
void EditSession::PrepareNextRevision() {
  const Manifest empty;
  const Manifest& current = base_ ? base_->manifest : empty;
  if (!request_.section.empty()) {
    std::string conflict =
        FindConflict(current, request_.section, request_.expected_revision);
    if (!conflict.empty()) {
      Refuse({.conflict = std::move(conflict)});
      return;
    }
  }
  SectionTexts texts =
      base_ ? JoinSectionChunks(current, base_->chunks) : SectionTexts();
  for (const auto& [name, text] : request_.sections) {
    texts[name] = text;
  }
  ReadOutcome outcome = ReadSections(texts, request_.section);
  if (!outcome.faults.empty()) {
    Refuse({.faults = std::move(outcome.faults)});
    return;
  }
  next_ = std::make_shared<LoadedRevision>();
  unwritten_.clear();
  ReplacedSections replaced;
  bool is_changed = false;
  for (const auto& [name, text] : request_.sections) {
    std::vector<std::string>& hashes = replaced[name];
    for (Chunk& it :
         SplitSection(name, WriteElements(outcome.document, name))) {
      hashes.push_back(it.hash);
      next_->chunks[it.hash] = std::make_shared<const std::string>(it.text);
      if (!base_ || !base_->chunks.contains(it.hash)) {
        unwritten_.push_back(std::move(it));
      }
    }
    const auto before = current.sections.find(name);
    is_changed = is_changed || before == current.sections.end() ||
                 before->second.chunks != hashes;
  }
  if (!is_changed) {
    Accept(current.revision);
    return;
  }
  std::string base_hash;
  if (base_) {
    // The old manifest is stored as a chunk, so that operators can still read
    // earlier revisions.
    base_hash = HashOfChunk(base_text_);
    unwritten_.push_back({.hash = base_hash, .text = base_text_});
  }
  next_->manifest =
      NextManifest(base_ ? &base_->manifest : nullptr, base_hash, replaced,
                   {.edit_id = edit_id_,
                    .author = request_.author,
                    .section = request_.section,
                    .time = context_.wall_clock()});
  next_->manifest_text = WriteManifest(next_->manifest);
  failed_writes_ = 0;
  WriteChunks();
}

void EditSession::WriteChunks() {
  if (unwritten_.empty()) {
    UpdateManifest();
    return;
  }
  auto self = shared_from_this();
  std::vector<Chunk> batch;
  while (!unwritten_.empty() && batch.size() < kParallelWrites) {
    batch.push_back(std::move(unwritten_.back()));
    unwritten_.pop_back();
  }
  in_flight_ = batch.size();
  for (Chunk& it : batch) {
    const Chunk chunk = it;
    context_.store.Create(
        kChunkPrefix + it.hash, std::move(it.text),
        OnRunner<StoredObject>(context_, [self,
                                          chunk](Result<StoredObject> written) {
          // Chunks are keyed by their hash, so an existing one has the same
          // content. After any other error the chunk is written again.
          if (!written && written.error().code != ErrorCode::kAlreadyExists) {
            self->unwritten_.push_back(chunk);
            ++self->failed_writes_;
          }
          self->OnChunkWritten(written);
        }));
  }
}

void EditSession::OnChunkWritten(const Result<StoredObject>& written) {
  if (!written) {
    write_error_ = written.error();
  }
  if (--in_flight_ > 0) {
    return;
  }
  if (failed_writes_ == 0) {
    WriteChunks();
    return;
  }
  failed_writes_ = 0;
  if (context_.runner->Now() >= deadline_) {
    Retry(write_error_);
    return;
  }
  auto self = shared_from_this();
  RunAfter(context_, backoff_.Next(context_), [self] { self->WriteChunks(); });
}

void EditSession::UpdateManifest() {
  auto self = shared_from_this();
  auto done = OnRunner<StoredObject>(
      context_, [self](const Result<StoredObject>& updated) {
        self->OnUpdated(updated);
      });
  if (base_) {
    context_.store.Update(kManifestKey, next_->manifest_text, base_version_,
                          std::move(done));
  } else {
    context_.store.Create(kManifestKey, next_->manifest_text, std::move(done));
  }
}

void EditSession::OnUpdated(const Result<StoredObject>& updated) {
  if (updated) {
    ActivateNextRevision();
    return;
  }
  switch (updated.error().code) {
    case ErrorCode::kUnknownOutcome:
    case ErrorCode::kTimeout:
    case ErrorCode::kInternal:
      maybe_accepted_ = true;
      attempted_version_ = base_version_;
      attempted_revision_ = next_->manifest.revision;
      Retry(updated.error());
      return;
    case ErrorCode::kInvalidArgument:
      Fail(updated.error());
      return;
    default:
      // Another edit was accepted first, or the update had no effect.
      Retry(updated.error());
      return;
  }
}

void EditSession::ActivateNextRevision() {
  if (base_) {
    for (const auto& [name, section] : next_->manifest.sections) {
      for (const std::string& hash : section.chunks) {
        const auto it = base_->chunks.find(hash);
        if (it != base_->chunks.end()) {
          next_->chunks.emplace(hash, it->second);
        }
      }
    }
  }
  // The document is built from the chunks, as on all other hosts, so that all
  // hosts hold the same one.
  const Result<void> read = ReadRevision(*next_, base_.get());
  if (read) {
    context_.in_force.Set(next_);
  } else {
    // The edit is accepted all the same. This host stays on its revision until
    // there is one that it can read.
    context_.log.Error(ToString(read.error()));
  }
  Accept(next_->manifest.revision);
}

void EditSession::Accept(std::uint64_t revision) {
  const std::string what = request_.section.empty()
                               ? std::string("whole document")
                               : "edit of section " + request_.section;
  context_.log.Info(what + " by " + request_.author +
                    " is accepted in revision " + std::to_string(revision));
  std::exchange(callback_, nullptr)(EditOutcome{.revision = revision});
}

void EditSession::Refuse(EditOutcome outcome) {
  std::exchange(callback_, nullptr)(std::move(outcome));
}

void EditSession::Fail(Error error) {
  context_.log.Warning(ToString(error));
  std::exchange(callback_, nullptr)(std::move(error));
}

void EditSession::Retry(const Error& error) {
  if (context_.runner->Now() < deadline_) {
    auto self = shared_from_this();
    RunAfter(context_, backoff_.Next(context_),
             [self] { self->ReadManifest(); });
    return;
  }
  Error last = error;
  last.step = "edit document: " + error.step;
  last.code =
      maybe_accepted_ ? ErrorCode::kUnknownOutcome : ErrorCode::kUnavailable;
  last.message += maybe_accepted_
                      ? "; the edit may have been accepted, see the history"
                      : "; the edit was not accepted";
  Fail(std::move(last));
}

}  // namespace flamingogauge
