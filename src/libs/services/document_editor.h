#ifndef FLAMINGOGAUGE_LIBS_SERVICES_DOCUMENT_EDITOR_H_
#define FLAMINGOGAUGE_LIBS_SERVICES_DOCUMENT_EDITOR_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/document/document_fault.h"
#include "libs/kernel/error.h"

namespace flamingogauge {

// An operator's change of one section.
struct SectionEdit {
  std::string section;
  // The section as JSON text.
  std::string text;
  // The document revision on which the edit is based.
  std::uint64_t expected_revision = 0;
  std::string author;
};

struct EditOutcome {
  // The accepted revision, or 0 when the edit was refused.
  std::uint64_t revision = 0;
  std::vector<DocumentFault> faults;
  // Why a valid edit was refused, naming both revisions.
  std::string conflict;
};

// Accepts edits and shows revisions. Callbacks run on the configuration
// thread. Errors: kUnavailable when the store is out of reach (nothing was
// accepted), kUnknownOutcome when the acceptance could not be settled.
class DocumentEditor {
 public:
  static constexpr std::string_view kServiceName = "configuration.editor";

  using EditCallback = std::function<void(Result<EditOutcome>)>;
  using TextCallback = std::function<void(Result<std::string>)>;

  virtual ~DocumentEditor() = default;

  virtual void Apply(SectionEdit edit, EditCallback callback) = 0;

  // Returns the whole document of a revision as JSON text; 0 means the one in
  // force on this host.
  virtual void GetText(std::uint64_t revision, TextCallback callback) = 0;

  // Returns a JSON array of {revision, author, section, time} of the newest
  // revisions, newest first.
  virtual void GetHistory(TextCallback callback) = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_SERVICES_DOCUMENT_EDITOR_H_
