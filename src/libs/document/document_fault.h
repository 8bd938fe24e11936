#ifndef FLAMINGOGAUGE_LIBS_DOCUMENT_DOCUMENT_FAULT_H_
#define FLAMINGOGAUGE_LIBS_DOCUMENT_DOCUMENT_FAULT_H_

#include <string>
#include <vector>

namespace flamingogauge {

// A validation error.
struct DocumentFault {
  std::string section;
  // JSON pointer within the section, for example "/3/address".
  std::string path;
  std::string value;
  // Description of the allowed values, shown to the operator.
  std::string allowed;
};

using DocumentFaults = std::vector<DocumentFault>;

// Maximum number of faults that are reported; further ones are dropped.
inline constexpr std::size_t kMaxDocumentFaults = 1000;

// Appends a fault unless the list is full.
inline void AddFault(DocumentFaults& faults, DocumentFault fault) {
  if (faults.size() < kMaxDocumentFaults) {
    faults.push_back(std::move(fault));
  }
}

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DOCUMENT_DOCUMENT_FAULT_H_
