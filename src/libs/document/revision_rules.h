#ifndef FLAMINGOGAUGE_LIBS_DOCUMENT_REVISION_RULES_H_
#define FLAMINGOGAUGE_LIBS_DOCUMENT_REVISION_RULES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/document/document.h"
#include "libs/document/manifest.h"

namespace flamingogauge {

// Relation of a manifest read from the store to the one in force.
enum class ManifestRelation {
  kNewer,
  kSame,
  kOlder,
  // Its history contains a different edit for the revision in force. This
  // happens if the store is restored to an older state and then edited again.
  kDiverged,
};

ManifestRelation Compare(const Manifest& in_force, const Manifest& seen);

// Returns the reason why an edit of a section based on `expected_revision`
// conflicts with `current`, or an empty string if it does not. Later edits of
// other sections are not a conflict, because sections are merged.
std::string FindConflict(const Manifest& current,
                         std::string_view section,
                         std::uint64_t expected_revision);

// Returns the revision in which an edit was accepted, if it is in the history.
std::optional<std::uint64_t> FindEdit(const Manifest& manifest,
                                      std::string_view edit_id);

// Chunk hashes of the sections that an edit replaces, by section name.
using ReplacedSections =
    std::map<std::string, std::vector<std::string>, std::less<>>;

// Creates the manifest that follows `current`, or the first one if `current` is
// null. `current_hash` is the hash of the chunk that contains the text of
// `current`. Sets the revision of `record`.
Manifest NextManifest(const Manifest* current,
                      const std::string& current_hash,
                      const ReplacedSections& replaced,
                      RevisionRecord record);

// A key-value pair in the platform's store.
struct DocumentObject {
  std::string key;
  std::string value;
};

inline constexpr char kManifestKey[] = "document/manifest";
inline constexpr char kChunkPrefix[] = "document/chunks/";

// Returns the objects that store a valid document as the first revision.
std::vector<DocumentObject> FirstRevision(const Document& document,
                                          const std::string& author);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DOCUMENT_REVISION_RULES_H_
