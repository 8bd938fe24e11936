#ifndef FLAMINGOGAUGE_LIBS_DOCUMENT_MANIFEST_H_
#define FLAMINGOGAUGE_LIBS_DOCUMENT_MANIFEST_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace flamingogauge {

// Storage location and last change of a section.
struct ManifestSection {
  // Revision that last changed the section.
  std::uint64_t changed_in = 0;
  std::string changed_by;
  // Hashes of the section's chunks, in the order of the section.
  std::vector<std::string> chunks;
};

// Record of an accepted edit.
struct RevisionRecord {
  std::uint64_t revision = 0;
  // Random id chosen by the host that performed the edit. If the reply to the
  // conditional update is lost, it shows whether the edit was accepted.
  std::string edit_id;
  std::string author;
  // Edited section; empty for the initial document.
  std::string section;
  // Seconds since 1970-01-01 UTC by the clock of the accepting host; used only
  // for display.
  std::chrono::seconds time{0};
  // Hash of the chunk that contains the manifest of this revision. Empty for
  // the newest revision, whose manifest is the manifest object itself.
  std::string manifest_hash;
};

// Content of the manifest object. An edit is accepted by a conditional update
// of this object.
struct Manifest {
  std::uint64_t revision = 0;
  std::map<std::string, ManifestSection, std::less<>> sections;
  // Most recent revisions, newest first, starting with this one.
  std::vector<RevisionRecord> history;
};

// Maximum number of revisions in the history of a manifest.
inline constexpr std::size_t kMaxHistory = 50;

std::string WriteManifest(const Manifest& manifest);

// Returns std::nullopt if the text is not a valid manifest.
std::optional<Manifest> ReadManifest(std::string_view text);

// Serializes the history as the JSON array that is shown to operators.
std::string WriteHistory(const Manifest& manifest);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DOCUMENT_MANIFEST_H_
