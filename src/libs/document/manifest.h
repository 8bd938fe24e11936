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

// Where a revision's section is stored, and who changed it last.
struct ManifestSection {
  // The revision that changed the section last.
  std::uint64_t changed_in = 0;
  std::string changed_by;
  // Hashes of the section's chunks, in order.
  std::vector<std::string> chunks;
};

// One accepted edit.
struct RevisionRecord {
  std::uint64_t revision = 0;
  // Chosen at random by the host that carried out the edit; by it a lost answer
  // to the acceptance is settled.
  std::string edit_id;
  std::string author;
  // The section that was edited, or empty for a first whole document.
  std::string section;
  // Seconds since 1970-01-01 UTC on the accepting host's clock; for display.
  std::chrono::seconds time{0};
  // The hash of the chunk that holds this revision's manifest; empty for the
  // newest revision, whose manifest is the object itself.
  std::string manifest_hash;
};

// The object whose conditional update is the acceptance of an edit.
struct Manifest {
  std::uint64_t revision = 0;
  std::map<std::string, ManifestSection, std::less<>> sections;
  // The newest revisions, newest first; the first is this one.
  std::vector<RevisionRecord> history;
};

// Revisions whose records a manifest keeps.
inline constexpr std::size_t kMaxHistory = 50;

std::string WriteManifest(const Manifest& manifest);

// Returns nothing when the text is not a manifest.
std::optional<Manifest> ReadManifest(std::string_view text);

// Writes the history as the JSON array that operators see.
std::string WriteHistory(const Manifest& manifest);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DOCUMENT_MANIFEST_H_
