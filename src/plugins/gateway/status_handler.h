#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_STATUS_HANDLER_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_STATUS_HANDLER_H_

#include <functional>
#include <memory>
#include <string>

#include "plugins/gateway/http_session.h"

namespace flamingogauge {

struct StatusHandlerOptions {
  std::string ready_path;
  std::function<bool()> is_ready;
  // Return the response bodies for metrics and the state dump.
  std::function<std::string()> metrics;
  std::function<std::string()> state;
};

// Serves the readiness check, /metrics and /state.
class StatusHandler : public HttpRequestHandler {
 public:
  explicit StatusHandler(StatusHandlerOptions options);

  void OnRequest(const std::shared_ptr<HttpSession>& session,
                 ParsedRequest request,
                 MonotonicTime arrived_at) override;
  CallerLimits Limits() const override { return {}; }
  void OnRefused(int status, const std::string& reason) override;

 private:
  const StatusHandlerOptions options_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_STATUS_HANDLER_H_
