#ifndef FLAMINGOGAUGE_LIBS_DOCUMENT_DOCUMENT_JSON_H_
#define FLAMINGOGAUGE_LIBS_DOCUMENT_DOCUMENT_JSON_H_

#include <array>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "libs/document/document.h"
#include "libs/document/document_fault.h"

namespace flamingogauge {

// Names of the sections, in the order in which they are written.
inline constexpr std::array<std::string_view, 9> kSectionNames{
    "tiers",   "workspaces",  "models", "upstreams", "services",
    "regions", "retirements", "policy", "limits"};

bool IsSectionName(std::string_view name);

// Returns true for sections that are JSON arrays; the others are JSON objects.
bool IsArraySection(std::string_view name);

// JSON texts by section name.
using SectionTexts = std::map<std::string, std::string, std::less<>>;

// Whether unknown fields are reported as faults.
enum class UnknownFields { kRefuse, kIgnore };

struct ReadOutcome {
  // Valid only if `faults` is empty. The revision is 0.
  Document document;
  DocumentFaults faults;
};

// Reads and validates a document, which is a JSON object of sections. Missing
// sections count as empty. Reports all faults, including invalid references
// between sections.
ReadOutcome ReadDocument(std::string_view text);

// Reads and validates a document given as separate sections. Unknown fields are
// refused in `edited_section` and ignored in all others, where a newer version
// of this program may have accepted them.
ReadOutcome ReadSections(const SectionTexts& sections,
                         std::string_view edited_section = "");

// Builds the document of an accepted revision incrementally from its chunks, so
// that the text of a large section is never held in memory as a whole. Ignores
// unknown fields.
class DocumentAssembler {
 public:
  void AddChunk(const std::string& section, std::string_view text);

  // Copies `count` workspaces of an earlier revision, starting at `begin`,
  // instead of parsing an unchanged chunk again.
  void CopyWorkspaces(const Document& from,
                      std::size_t begin,
                      std::size_t count);

  std::size_t workspace_count() const {
    return outcome_.document.workspaces.size();
  }

  // Checks references and returns the result. Must be called only once.
  ReadOutcome Finish();

 private:
  ReadOutcome outcome_;
};

// An element of an array section, or a complete object section.
struct SectionElement {
  std::string key;
  std::string text;
};

// Serializes a section in canonical form, which contains all fields.
std::vector<SectionElement> WriteElements(const Document& document,
                                          std::string_view section);

// Joins elements into the JSON text of the section.
std::string JoinElements(std::string_view section,
                         const std::vector<SectionElement>& elements);

// Serializes all sections in canonical form.
SectionTexts WriteSections(const Document& document);

// Joins sections into the JSON text of a document.
std::string JoinSections(const SectionTexts& sections);

// Formats JSON text with an indentation of two spaces. Returns malformed text
// unchanged.
std::string IndentJson(std::string_view text);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DOCUMENT_DOCUMENT_JSON_H_
