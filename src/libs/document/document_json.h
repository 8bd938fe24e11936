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

// The sections, in the order in which they are written.
inline constexpr std::array<std::string_view, 9> kSectionNames{
    "tiers",   "workspaces",  "models", "upstreams", "services",
    "regions", "retirements", "policy", "limits"};

bool IsSectionName(std::string_view name);

// True for sections that are arrays; the others are objects.
bool IsArraySection(std::string_view name);

// The JSON text of each section.
using SectionTexts = std::map<std::string, std::string, std::less<>>;

// Whether fields that this program does not know are faults.
enum class UnknownFields { kRefuse, kIgnore };

struct ReadOutcome {
  // Meaningful only without faults. Its revision is 0.
  Document document;
  DocumentFaults faults;
};

// Reads and validates a document, which is one JSON object of sections; absent
// sections are empty. Reports all faults, those of references between sections
// included.
ReadOutcome ReadDocument(std::string_view text);

// The same for separate sections. Unknown fields are refused in the edited
// section and ignored in the others, because a newer program may have accepted
// them.
ReadOutcome ReadSections(const SectionTexts& sections,
                         std::string_view edited_section = "");

// Builds an accepted revision's document from the texts of its chunks, one at a
// time, so that a large section is never held as a whole. Unknown fields are
// ignored.
class DocumentAssembler {
 public:
  void AddChunk(const std::string& section, std::string_view text);

  // Takes workspaces of an earlier revision instead of reading their chunk.
  void CopyWorkspaces(const Document& from,
                      std::size_t begin,
                      std::size_t count);

  std::size_t workspace_count() const {
    return outcome_.document.workspaces.size();
  }

  // Checks references and returns the result. Call once.
  ReadOutcome Finish();

 private:
  ReadOutcome outcome_;
};

// One element of an array section, or the whole of an object section.
struct SectionElement {
  std::string key;
  std::string text;
};

// Writes a section in the canonical form, in which all fields are present.
std::vector<SectionElement> WriteElements(const Document& document,
                                          std::string_view section);

// Joins elements to the JSON text of the section.
std::string JoinElements(std::string_view section,
                         const std::vector<SectionElement>& elements);

// Writes all sections in the canonical form.
SectionTexts WriteSections(const Document& document);

// Joins sections to the JSON text of a document.
std::string JoinSections(const SectionTexts& sections);

// Indents JSON text by two spaces; malformed text is returned unchanged.
std::string IndentJson(std::string_view text);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DOCUMENT_DOCUMENT_JSON_H_
