#include "plugins/configuration/configuration_core.h"

#include <vector>

#include "libs/document/chunks.h"
#include "libs/document/nearest_name.h"
#include "plugins/configuration/configuration_messages.h"
#include "plugins/configuration/revision_loader.h"

namespace flamingogauge {
namespace {

// Limit on queued and running tasks of other plugins. The rest of the runner's
// capacity is reserved for the core's own calls.
constexpr std::size_t kMaxExternalTasks = 256;
constexpr std::size_t kMaxQueuedEdits = 64;
constexpr std::size_t kMaxReplyBytes = 512U << 10U;
constexpr std::size_t kMaxAuthorBytes = 128;

Error MakeError(ErrorCode code, const char* step, std::string message) {
  return Error{
      .code = code, .step = step, .peer = "", .message = std::move(message)};
}

std::string Quote(const std::string& text) {
  std::string quoted = "\"";
  for (const char it : text) {
    if (it == '"' || it == '\\') {
      quoted += '\\';
    }
    quoted += static_cast<unsigned char>(it) < ' ' ? ' ' : it;
  }
  return quoted + "\"";
}

DocumentFault UnknownSection(const std::string& name) {
  const std::vector<std::string> names(kSectionNames.begin(),
                                       kSectionNames.end());
  const std::string nearest = NearestName(name, names);
  return {.section = name,
          .path = "",
          .value = name,
          .allowed = nearest.empty() ? "a section of the document"
                                     : "unknown section; did you mean \"" +
                                           nearest + "\"?"};
}

std::string DocumentText(const LoadedRevision& revision) {
  return JoinSections(JoinSectionChunks(revision.manifest, revision.chunks));
}

}  // namespace

ConfigurationCore::ConfigurationCore(CoreOptions options)
    : context_{.runner = std::move(options.runner),
               .store = *options.store,
               .settings = std::move(options.settings),
               .random = Random(options.seed),
               .wall_clock = std::move(options.wall_clock)},
      follower_(context_, [this] { PublishInitialDocument(); }) {}

void ConfigurationCore::Start(PeerTransport* transport,
                              MembershipView* membership) {
  context_.transport = transport;
  context_.membership = membership;
  const std::weak_ptr<bool> alive = context_.alive;
  if (transport != nullptr) {
    transport->Handle(
        kConfigurationChannel,
        [this, alive](const HostId& /*from*/, const std::string& payload,
                      const PeerTransport::ReplyCallback& reply) {
          if (!alive.expired()) {
            AnswerPeer(payload, reply);
          }
        });
  }
  RunAfter(context_, Duration::zero(), [this] {
    if (context_.membership != nullptr) {
      context_.in_force.AddListener(
          [this](const std::shared_ptr<const Document>& document) {
            context_.membership->SetDocumentRevision(document->revision);
          });
    }
    follower_.Start();
  });
  if (membership != nullptr) {
    membership->Subscribe(
        [this, alive](const std::shared_ptr<const MemberList>&) {
          // Membership changes that arrive before the posted check runs are
          // handled by that check.
          if (alive.expired() || is_membership_check_posted_.exchange(true)) {
            return;
          }
          RunAfter(context_, Duration::zero(), [this] {
            is_membership_check_posted_ = false;
            follower_.OnMembership();
          });
        });
  }
}

std::shared_ptr<const Document> ConfigurationCore::Current() const {
  const auto current = context_.in_force.Current();
  return current ? current->document : nullptr;
}

void ConfigurationCore::Subscribe(Listener listener) {
  RunAfter(context_, Duration::zero(), [this, listener = std::move(listener)] {
    context_.in_force.AddListener(listener);
  });
}

void ConfigurationCore::PostExternal(std::function<void()> task,
                                     const std::function<void(Error)>& refuse) {
  const bool has_room = external_tasks_.fetch_add(1) < kMaxExternalTasks;
  const bool posted =
      has_room &&
      context_.runner->Post([this, alive = std::weak_ptr<bool>(context_.alive),
                             task = std::move(task)] {
        if (!alive.expired()) {
          --external_tasks_;
          task();
        }
      });
  if (!posted) {
    --external_tasks_;
    refuse(MakeError(ErrorCode::kUnavailable, "queue call",
                     "the configuration plugin is busy or shutting down"));
  }
}

// Runs on the peers thread, where RevisionInForce::Current is safe to call.
void ConfigurationCore::AnswerPeer(
    const std::string& payload,
    const PeerTransport::ReplyCallback& reply) const {
  const std::optional<PeerRequest> request = DecodePeerRequest(payload);
  if (!request) {
    reply(MakeError(ErrorCode::kInvalidArgument, "read peer request",
                    "malformed configuration request"));
    return;
  }
  PeerReply answer;
  const auto current = context_.in_force.Current();
  if (current && request->chunk_hashes.empty()) {
    answer.manifest = current->manifest_text;
  }
  std::size_t bytes = 0;
  for (const std::string& hash : request->chunk_hashes) {
    const auto it =
        current ? current->chunks.find(hash) : ChunkTexts::const_iterator();
    if (!current || it == current->chunks.end()) {
      continue;
    }
    bytes += it->second->size();
    if (bytes > kMaxReplyBytes && !answer.chunks.empty()) {
      break;
    }
    answer.chunks.push_back(*it->second);
  }
  reply(EncodePeerReply(answer));
}

void ConfigurationCore::PublishInitialDocument() {
  const std::string& text = context_.settings.initial_document_text;
  if (text.empty() || is_publishing_initial_document_) {
    return;
  }
  const ReadOutcome outcome = ReadDocument(text);
  if (!outcome.faults.empty()) {
    const DocumentFault& fault = outcome.faults.front();
    context_.log.Error("the initial document is not valid: " + fault.section +
                       fault.path + " must be " + fault.allowed);
    return;
  }
  is_publishing_initial_document_ = true;
  EnqueueEdit({.sections = WriteSections(outcome.document),
               .author = "initial document"},
              [this](const Result<EditOutcome>&) {
                is_publishing_initial_document_ = false;
              });
}

void ConfigurationCore::Apply(SectionEdit edit, EditCallback callback) {
  PostExternal(
      [this, edit = std::move(edit), callback] {
        EditOutcome refusal;
        if (!IsSectionName(edit.section)) {
          refusal.faults.push_back(UnknownSection(edit.section));
        }
        if (edit.author.empty() || edit.author.size() > kMaxAuthorBytes) {
          refusal.faults.push_back({.section = edit.section,
                                    .path = "author",
                                    .value = edit.author,
                                    .allowed = "a name of 1 to 128 bytes"});
        }
        if (!refusal.faults.empty()) {
          callback(refusal);
          return;
        }
        EnqueueEdit({.sections = {{edit.section, edit.text}},
                     .section = edit.section,
                     .expected_revision = edit.expected_revision,
                     .author = edit.author},
                    callback);
      },
      callback);
}

// Edits submitted to one host run sequentially. Concurrent edits on different
// hosts are serialized by the conditional update of the manifest.
void ConfigurationCore::EnqueueEdit(EditRequest request,
                                    EditCallback callback) {
  if (edits_.size() >= kMaxQueuedEdits) {
    callback(MakeError(ErrorCode::kUnavailable, "queue edit",
                       "the edit queue of this host is full; the edit "
                       "was not accepted"));
    return;
  }
  edits_.emplace_back(std::move(request), std::move(callback));
  RunNextEdit();
}

void ConfigurationCore::RunNextEdit() {
  if (is_editing_ || edits_.empty()) {
    return;
  }
  is_editing_ = true;
  QueuedEdit next = std::move(edits_.front());
  edits_.pop_front();
  EditSession::Run(
      context_, std::move(next.first),
      [this, callback = std::move(next.second)](Result<EditOutcome> outcome) {
        is_editing_ = false;
        const bool accepted = outcome && outcome.value().revision > 0;
        ++(accepted ? edits_accepted_ : edits_refused_);
        callback(std::move(outcome));
        RunNextEdit();
      });
}

void ConfigurationCore::GetText(std::uint64_t revision, TextCallback callback) {
  PostExternal(
      [this, revision, callback] {
        const auto current = context_.in_force.Current();
        if (!current) {
          callback(MakeError(ErrorCode::kUnavailable, "read document",
                             "this host has no document yet"));
        } else if (revision == 0 || revision == current->manifest.revision) {
          callback(DocumentText(*current));
        } else {
          GetOldText(revision, callback);
        }
      },
      callback);
}

void ConfigurationCore::GetOldText(std::uint64_t revision,
                                   const TextCallback& callback) {
  std::string hash;
  for (const RevisionRecord& it :
       context_.in_force.Current()->manifest.history) {
    if (it.revision == revision) {
      hash = it.manifest_hash;
    }
  }
  if (hash.empty()) {
    callback(MakeError(ErrorCode::kNotFound, "read document",
                       "revision " + std::to_string(revision) +
                           " is not in the history, whose maximum length is " +
                           std::to_string(kMaxHistory)));
    return;
  }
  context_.store.Get(
      kChunkPrefix + hash,
      OnRunner<StoredObject>(context_, [this,
                                        callback](Result<StoredObject> object) {
        if (!object) {
          callback(object.error());
          return;
        }
        RevisionLoader::Load(
            context_, object.value().value, "",
            [callback](Result<std::shared_ptr<const LoadedRevision>> loaded) {
              if (loaded) {
                callback(DocumentText(*loaded.value()));
              } else {
                callback(loaded.error());
              }
            });
      }));
}

void ConfigurationCore::GetHistory(TextCallback callback) {
  PostExternal(
      [this, callback] {
        const auto current = context_.in_force.Current();
        callback(current ? WriteHistory(current->manifest) : std::string("[]"));
      },
      callback);
}

std::string ConfigurationCore::DumpState() const {
  const auto current = context_.in_force.Current();
  const FollowerStatus status = follower_.Status();
  std::size_t bytes = 0;
  if (current) {
    for (const auto& [hash, text] : current->chunks) {
      bytes += text->size();
    }
  }
  std::string text = "{\"revision\":";
  text += std::to_string(current ? current->manifest.revision : 0);
  text += ",\"author\":";
  text += Quote(current ? current->manifest.history.front().author : "");
  text += ",\"chunks\":" + std::to_string(current ? current->chunks.size() : 0);
  text += ",\"bytes\":" + std::to_string(bytes);
  text +=
      std::string(",\"watching\":") + (status.is_watching ? "true" : "false");
  text += ",\"store_problem\":" + Quote(status.store_problem);
  text += ",\"load_problem\":" + Quote(status.load_problem);
  text += ",\"edits_accepted\":" + std::to_string(edits_accepted_.load());
  text += ",\"edits_refused\":" + std::to_string(edits_refused_.load());
  return text + "}";
}

}  // namespace flamingogauge
