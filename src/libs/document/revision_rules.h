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

// How a manifest that was seen relates to the one in force.
enum class ManifestRelation {
  kNewer,
  kSame,
  kOlder,
  // Its history holds another edit under the revision in force, which happens
  // when a store comes back with an older state and is edited again.
  kDiverged,
};

ManifestRelation Compare(const Manifest& in_force, const Manifest& seen);

// Returns why an edit of a section that is based on `expected_revision` cannot
// be made on `current`, or an empty string. Edits of other sections since then
// are no conflict: sections are merged.
std::string FindConflict(const Manifest& current,
                         std::string_view section,
                         std::uint64_t expected_revision);

// The revision under which an edit was accepted, if the history holds it.
std::optional<std::uint64_t> FindEdit(const Manifest& manifest,
                                      std::string_view edit_id);

// The chunk hashes of the sections that an edit replaces.
using ReplacedSections =
    std::map<std::string, std::vector<std::string>, std::less<>>;

// Makes the manifest that follows `current`, or the first one when `current` is
// null. `current_hash` names the chunk with the text of `current`. The record's
// revision is set by this function.
Manifest NextManifest(const Manifest* current,
                      const std::string& current_hash,
                      const ReplacedSections& replaced,
                      RevisionRecord record);

// An object of the store.
struct DocumentObject {
  std::string key;
  std::string value;
};

inline constexpr char kManifestKey[] = "document/manifest";
inline constexpr char kChunkPrefix[] = "document/chunks/";

// The objects that hold a valid document as the first revision.
std::vector<DocumentObject> FirstRevision(const Document& document,
                                          const std::string& author);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DOCUMENT_REVISION_RULES_H_
