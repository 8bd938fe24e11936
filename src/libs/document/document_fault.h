#ifndef FLAMINGOGAUGE_LIBS_DOCUMENT_DOCUMENT_FAULT_H_
#define FLAMINGOGAUGE_LIBS_DOCUMENT_DOCUMENT_FAULT_H_

#include <string>
#include <vector>

namespace flamingogauge {

// One fault found by validation.
struct DocumentFault {
  std::string section;
  // A JSON pointer inside the section, for example "/3/address".
  std::string path;
  std::string value;
  // What is allowed instead.
  std::string allowed;
};

using DocumentFaults = std::vector<DocumentFault>;

// Faults beyond this number are not listed.
inline constexpr std::size_t kMaxDocumentFaults = 1000;

// Appends a fault unless the list is full.
inline void AddFault(DocumentFaults& faults, DocumentFault fault) {
  if (faults.size() < kMaxDocumentFaults) {
    faults.push_back(std::move(fault));
  }
}

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DOCUMENT_DOCUMENT_FAULT_H_
