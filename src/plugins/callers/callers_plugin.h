#ifndef FLAMINGOGAUGE_PLUGINS_CALLERS_CALLERS_PLUGIN_H_
#define FLAMINGOGAUGE_PLUGINS_CALLERS_CALLERS_PLUGIN_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "libs/http_server/http_server.h"
#include "libs/kernel/log.h"
#include "libs/kernel/plugin.h"
#include "libs/services/request_intake.h"
#include "plugins/callers/callers_settings.h"

namespace flamingogauge {

// Serves callers over HTTP: converts HTTP requests to CallerRequests and writes
// the responses.
class CallersPlugin : public Plugin {
 public:
  explicit CallersPlugin(CallersSettings settings);
  ~CallersPlugin() override;

  std::string_view Name() const override { return "callers"; }
  Result<void> Initialize(ServiceRegistry& registry) override;
  Result<void> ExtensionsInitialized(ServiceRegistry& registry) override;
  void AboutToShutdown(std::function<void()> done) override;
  std::string DumpState() const override;

  // Returns "ip:port" with the port in use; empty before the server is started.
  std::string ListeningAddress() const;

 private:
  void Handle(HttpRequest request,
              const std::shared_ptr<HttpExchange>& exchange);

  const CallersSettings settings_;
  const Logger log_{"callers"};
  RequestIntake* intake_ = nullptr;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_CALLERS_CALLERS_PLUGIN_H_
