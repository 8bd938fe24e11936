#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_STATUS_HANDLER_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_STATUS_HANDLER_H_

#include <functional>
#include <memory>
#include <string>

#include "libs/kernel/error.h"
#include "plugins/gateway/http_session.h"

namespace flamingogauge {

struct StatusHandlerOptions {
  std::string ready_path;
  std::function<bool()> is_ready;
  // Return the response bodies for metrics and the state dump.
  std::function<std::string()> metrics;
  std::function<std::string()> state;
  // Returns the response body for a question, or what is wrong with it.
  std::function<Result<std::string>(const std::string&)> explain;
};

// Serves the readiness check, /metrics, /state and /explain.
class StatusHandler : public HttpRequestHandler {
 public:
  explicit StatusHandler(StatusHandlerOptions options);

  void OnRequest(const std::shared_ptr<HttpSession>& session,
                 ParsedRequest request,
                 MonotonicTime arrived_at) override;
  CallerLimits Limits() const override;
  void OnRefused(int status, const std::string& reason) override;

 private:
  // Returns the response to a question.
  std::string Explain(const ParsedRequest& request) const;

  const StatusHandlerOptions options_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_STATUS_HANDLER_H_
