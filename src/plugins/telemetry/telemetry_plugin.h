#ifndef FLAMINGOGAUGE_PLUGINS_TELEMETRY_TELEMETRY_PLUGIN_H_
#define FLAMINGOGAUGE_PLUGINS_TELEMETRY_TELEMETRY_PLUGIN_H_

#include <functional>
#include <string>
#include <string_view>

#include "libs/kernel/event_log.h"
#include "libs/kernel/plugin.h"
#include "libs/metrics/metrics_registry.h"

namespace flamingogauge {

// Reads the options from the --log_* flags.
EventLogOptions EventLogOptionsFromFlags();

// Provides the structured event log and the metrics registry of the process.
class TelemetryPlugin : public Plugin {
 public:
  explicit TelemetryPlugin(EventLogOptions options) : log_(options) {}

  std::string_view Name() const override { return "telemetry"; }
  Result<void> Initialize(ServiceRegistry& registry) override;
  Result<void> ExtensionsInitialized(ServiceRegistry& registry) override;
  Result<void> Reload() override;
  void AboutToShutdown(std::function<void()> done) override { done(); }
  std::string DumpState() const override;

 private:
  EventLog log_;
  MetricsRegistry metrics_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_TELEMETRY_TELEMETRY_PLUGIN_H_
