#include "plugins/configuration/revision_in_force.h"

#include <utility>

#include "libs/document/chunks.h"
#include "libs/kernel/check.h"

namespace flamingogauge {

SectionTexts TextsOfSections(const Manifest& manifest,
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
