#ifndef FLAMINGOGAUGE_PLUGINS_OPERATORS_DOCUMENT_ENDPOINTS_H_
#define FLAMINGOGAUGE_PLUGINS_OPERATORS_DOCUMENT_ENDPOINTS_H_

#include <memory>

#include "libs/http_server/http_server.h"
#include "libs/services/document_editor.h"

namespace flamingogauge {

// Serves /document, /document/history and /document/<section>. The response is
// sent asynchronously, when the editor has completed the operation.
class DocumentEndpoints {
 public:
  explicit DocumentEndpoints(DocumentEditor* editor) : editor_(editor) {}

  void Handle(const HttpRequest& request,
              const std::shared_ptr<HttpExchange>& exchange);

 private:
  void HandleGet(const HttpRequest& request,
                 const std::shared_ptr<HttpExchange>& exchange);
  void HandleEdit(const HttpRequest& request,
                  const std::shared_ptr<HttpExchange>& exchange);

  DocumentEditor* const editor_;
};

// Sends {"error":{"message":...}}.
void SendOperatorError(HttpExchange& exchange,
                       int status,
                       const std::string& message);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_OPERATORS_DOCUMENT_ENDPOINTS_H_
