#include "plugins/configuration/revision_in_force.h"

#include <utility>

#include "libs/document/chunks.h"
#include "libs/kernel/check.h"

namespace flamingogauge {

SectionTexts JoinSectionChunks(const Manifest& manifest,
                               const ChunkTexts& chunks) {
  SectionTexts sections;
  for (const auto& [name, section] : manifest.sections) {
    std::vector<std::string_view> texts;
    for (const std::string& hash : section.chunks) {
      texts.emplace_back(*chunks.at(hash));
    }
    sections.emplace(name, JoinChunks(name, texts));
  }
  return sections;
}

Result<void> ReadRevision(LoadedRevision& revision,
                          const LoadedRevision* previous) {
  DocumentAssembler assembler;
  for (const auto& [name, section] : revision.manifest.sections) {
    const bool is_workspaces = name == "workspaces";
    for (const std::string& hash : section.chunks) {
      const std::size_t begin = assembler.workspace_count();
      const WorkspaceRange* known = nullptr;
      if (is_workspaces && previous != nullptr) {
        const auto it = previous->workspace_ranges.find(hash);
        known = it == previous->workspace_ranges.end() ? nullptr : &it->second;
      }
      if (known != nullptr) {
        assembler.CopyWorkspaces(*previous->document, known->begin,
                                 known->count);
      } else {
        assembler.AddChunk(name, *revision.chunks.at(hash));
      }
      if (is_workspaces) {
        revision.workspace_ranges[hash] = {
            .begin = begin, .count = assembler.workspace_count() - begin};
      }
    }
  }
  ReadOutcome outcome = assembler.Finish();
  if (!outcome.faults.empty()) {
    const DocumentFault& fault = outcome.faults.front();
    return Error{.code = ErrorCode::kInternal,
                 .step = "read revision",
                 .peer = "",
                 .message = "revision " +
                            std::to_string(revision.manifest.revision) +
                            " is not valid for this program: " + fault.section +
                            fault.path + " must be " + fault.allowed};
  }
  outcome.document.revision = revision.manifest.revision;
  revision.document =
      std::make_shared<const Document>(std::move(outcome.document));
  return boost::outcome_v2::success();
}

std::shared_ptr<const LoadedRevision> RevisionInForce::Current() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return current_;
}

std::uint64_t RevisionInForce::Number() const {
  const auto current = Current();
  return current ? current->manifest.revision : 0;
}

bool RevisionInForce::Set(std::shared_ptr<const LoadedRevision> revision) {
  const std::uint64_t before = Number();
  if (revision->manifest.revision <= before) {
    return false;
  }
  std::shared_ptr<const Document> document = revision->document;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    current_ = std::move(revision);
  }
  CHECK_INVARIANT("I8", Number() > before && document->revision == Number(),
                  "put revision " + std::to_string(document->revision) +
                      " in force after revision " + std::to_string(before));
  for (const Listener& it : listeners_) {
    it(document);
  }
  return true;
}

void RevisionInForce::AddListener(Listener listener) {
  if (const auto current = Current()) {
    listener(current->document);
  }
  listeners_.push_back(std::move(listener));
}

}  // namespace flamingogauge
