#include "plugins/telemetry/telemetry_plugin.h"

#include <gflags/gflags.h>

#include "libs/services/event_log_service.h"

DEFINE_uint32(log_max_lines_per_second,
              400,
              "maximum structured log lines per second; further lines are "
              "dropped and counted");
DEFINE_uint32(
    log_max_buffered_bytes,
    262144,
    "maximum bytes of the structured log that are buffered for writing");

namespace flamingogauge {

EventLogOptions EventLogOptionsFromFlags() {
  return {.max_buffered_bytes = FLAGS_log_max_buffered_bytes,
          .max_lines_per_second = FLAGS_log_max_lines_per_second};
}

Result<void> TelemetryPlugin::Initialize(ServiceRegistry& registry) {
  metrics_.SetGauge("flamingogauge_log_lines_dropped", [this] {
    return static_cast<double>(log_.dropped_lines());
  });
  Result<void> registered = registry.Register(kEventLogService, &log_);
  if (!registered) {
    return registered;
  }
  return registry.Register(MetricsRegistry::kServiceName, &metrics_);
}

Result<void> TelemetryPlugin::ExtensionsInitialized(
    ServiceRegistry& /*registry*/) {
  log_.Write(EventLine("process.started"));
  return boost::outcome_v2::success();
}

Result<void> TelemetryPlugin::Reload() {
  const EventLogOptions options = EventLogOptionsFromFlags();
  log_.SetBounds(options.max_lines_per_second, options.max_buffered_bytes);
  return boost::outcome_v2::success();
}

std::string TelemetryPlugin::DumpState() const {
  return "{\"dropped_lines\":" + std::to_string(log_.dropped_lines()) + "}";
}

}  // namespace flamingogauge
