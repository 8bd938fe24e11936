#ifndef FLAMINGOGAUGE_PLUGINS_OPERATORS_OPERATORS_PLUGIN_H_
#define FLAMINGOGAUGE_PLUGINS_OPERATORS_OPERATORS_PLUGIN_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "libs/http_server/http_server.h"
#include "libs/kernel/log.h"
#include "libs/kernel/plugin.h"
#include "libs/kernel/plugin_manager.h"
#include "libs/metrics/metrics_registry.h"
#include "libs/services/document_source.h"
#include "libs/services/membership_view.h"
#include "libs/services/quarantine_service.h"
#include "libs/services/request_intake.h"
#include "plugins/operators/document_endpoints.h"
#include "plugins/operators/operators_settings.h"

namespace flamingogauge {

// Serves operators over HTTP on a separate address. /healthz and /readyz need
// no authentication; all other paths require the operators' token.
class OperatorsPlugin : public Plugin {
 public:
  explicit OperatorsPlugin(OperatorsSettings settings);
  ~OperatorsPlugin() override;

  std::string_view Name() const override { return "operators"; }
  Result<void> Initialize(ServiceRegistry& registry) override;
  Result<void> ExtensionsInitialized(ServiceRegistry& registry) override;
  void AboutToShutdown(std::function<void()> done) override;
  std::string DumpState() const override;

  // Returns "ip:port" with the port in use; empty before the server is started.
  std::string ListeningAddress() const;

 private:
  Result<void> FindServices(ServiceRegistry& registry);
  void Handle(const HttpRequest& request,
              const std::shared_ptr<HttpExchange>& exchange);
  bool HandleProbe(const HttpRequest& request, HttpExchange& exchange);
  void HandleQuarantine(const HttpRequest& request, HttpExchange& exchange);
  void HandleDrain(HttpExchange& exchange);
  bool IsAuthorized(const HttpRequest& request) const;
  std::string Status() const;

  const OperatorsSettings settings_;
  const Logger log_{"operators"};
  StateDumper* dumper_ = nullptr;
  MetricsRegistry* metrics_ = nullptr;
  RequestIntake* intake_ = nullptr;
  DocumentSource* document_ = nullptr;
  MembershipView* members_ = nullptr;
  // Null if no plugin provides the service.
  QuarantineService* quarantine_ = nullptr;
  std::unique_ptr<DocumentEndpoints> endpoints_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_OPERATORS_OPERATORS_PLUGIN_H_
