#include "libs/document/revision_rules.h"

#include <utility>

#include "libs/document/chunks.h"

namespace flamingogauge {
namespace {

const RevisionRecord* FindRecord(const Manifest& manifest,
                                 std::uint64_t revision) {
  for (const RevisionRecord& it : manifest.history) {
    if (it.revision == revision) {
      return &it;
    }
  }
  return nullptr;
}

}  // namespace

ManifestRelation Compare(const Manifest& in_force, const Manifest& seen) {
  if (seen.revision < in_force.revision) {
    return ManifestRelation::kOlder;
  }
  // If the revision in force is no longer in the history, divergence cannot be
  // detected and the manifest counts as newer.
  const RevisionRecord* record = FindRecord(seen, in_force.revision);
  if (record != nullptr &&
      record->edit_id != in_force.history.front().edit_id) {
    return ManifestRelation::kDiverged;
  }
  return seen.revision == in_force.revision ? ManifestRelation::kSame
                                            : ManifestRelation::kNewer;
}

std::string FindConflict(const Manifest& current,
                         std::string_view section,
                         std::uint64_t expected_revision) {
  if (expected_revision > current.revision) {
    return "the edit is based on revision " +
           std::to_string(expected_revision) +
           ", but the newest accepted revision is " +
           std::to_string(current.revision);
  }
  const auto it = current.sections.find(section);
  if (it == current.sections.end() ||
      it->second.changed_in <= expected_revision) {
    return "";
  }
  return "section " + std::string(section) + " was changed in revision " +
         std::to_string(it->second.changed_in) + " by " +
         it->second.changed_by + ", after revision " +
         std::to_string(expected_revision) +
         ", on which this edit is based; the newest revision is " +
         std::to_string(current.revision);
}

std::optional<std::uint64_t> FindEdit(const Manifest& manifest,
                                      std::string_view edit_id) {
  for (const RevisionRecord& it : manifest.history) {
    if (it.edit_id == edit_id) {
      return it.revision;
    }
  }
  return std::nullopt;
}

Manifest NextManifest(const Manifest* current,
                      const std::string& current_hash,
                      const ReplacedSections& replaced,
                      RevisionRecord record) {
  Manifest next;
  if (current != nullptr) {
    next = *current;
    next.history.front().manifest_hash = current_hash;
  }
  ++next.revision;
  record.revision = next.revision;
  for (const auto& [name, chunks] : replaced) {
    next.sections[name] = {.changed_in = next.revision,
                           .changed_by = record.author,
                           .chunks = chunks};
  }
  next.history.insert(next.history.begin(), std::move(record));
  if (next.history.size() > kMaxHistory) {
    next.history.resize(kMaxHistory);
  }
  return next;
}

std::vector<DocumentObject> FirstRevision(const Document& document,
                                          const std::string& author) {
  std::vector<DocumentObject> objects;
  ReplacedSections replaced;
  for (const std::string_view section : kSectionNames) {
    std::vector<std::string>& hashes = replaced[std::string(section)];
    for (Chunk& it : SplitSection(section, WriteElements(document, section))) {
      hashes.push_back(it.hash);
      objects.push_back(
          {.key = kChunkPrefix + it.hash, .value = std::move(it.text)});
    }
  }
  objects.push_back(
      {.key = kManifestKey,
       .value = WriteManifest(NextManifest(
           nullptr, "", replaced, {.edit_id = "first", .author = author}))});
  return objects;
}

}  // namespace flamingogauge
