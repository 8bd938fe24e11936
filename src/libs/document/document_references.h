#ifndef FLAMINGOGAUGE_LIBS_DOCUMENT_DOCUMENT_REFERENCES_H_
#define FLAMINGOGAUGE_LIBS_DOCUMENT_DOCUMENT_REFERENCES_H_

#include "libs/document/document.h"
#include "libs/document/document_fault.h"

namespace flamingogauge {

// Checks constraints across elements, fields and sections: references,
// uniqueness and relations between fields.
void CheckReferences(const Document& document, DocumentFaults& faults);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DOCUMENT_DOCUMENT_REFERENCES_H_
