#ifndef FLAMINGOGAUGE_LIBS_SERVICES_DOCUMENT_SOURCE_H_
#define FLAMINGOGAUGE_LIBS_SERVICES_DOCUMENT_SOURCE_H_

#include <functional>
#include <memory>
#include <string_view>

#include "libs/document/document.h"

namespace flamingogauge {

// Gives the document in force on this host.
class DocumentSource {
 public:
  static constexpr std::string_view kServiceName = "configuration.document";

  using Listener = std::function<void(std::shared_ptr<const Document>)>;

  virtual ~DocumentSource() = default;

  // Returns the newest revision known, or null before the first one. Safe from
  // any thread.
  virtual std::shared_ptr<const Document> Current() const = 0;

  // Calls the listener for the current revision, if there is one, and for each
  // later one, in order, on the configuration thread. It must not block.
  virtual void Subscribe(Listener listener) = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_SERVICES_DOCUMENT_SOURCE_H_
