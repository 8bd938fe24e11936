#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_RELAY_CONTEXT_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_RELAY_CONTEXT_H_

#include <boost/asio/io_context.hpp>

#include <functional>
#include <optional>

#include "libs/coordination/placer.h"
#include "libs/dispatching/crash_quarantine.h"
#include "libs/dispatching/drain_progress.h"
#include "libs/dispatching/resend_budget.h"
#include "libs/dispatching/shared_rate_limiter.h"
#include "libs/kernel/event_log.h"
#include "libs/metrics/metrics_registry.h"
#include "libs/rollouts/rollout_controller.h"
#include "libs/services/fleet_source.h"
#include "plugins/gateway/gateway_settings.h"
#include "plugins/gateway/upstream_connections.h"

namespace flamingogauge {

// State shared by all exchanges of a host. Owned by the Relay and accessed only
// on its thread.
struct RelayContext {
  boost::asio::io_context& io;
  GatewaySettings settings;
  EventLog& log;
  MetricsRegistry& metrics;
  FleetSnapshot fleet;
  Placer placer;
  SharedRateLimiter rate_limiter;
  ResendBudget resends;
  CrashQuarantine crashes;
  UpstreamConnections connections;
  // Set while the host shuts down.
  std::optional<DrainProgress> drain;
  // Schedules the placement of waiting requests after the current event.
  std::function<void()> schedule_placement;
  // Schedules the messages that a change of the placer requires.
  std::function<void()> on_placer_changed;
  // To be called after evidence was added to `crashes`.
  std::function<void()> on_quarantine_changed;
  // Called at the end of each request at an upstream; empty if nobody compares
  // versions.
  std::function<void(const EndedRequest&)> on_request_ended;

  bool is_draining() const { return drain.has_value(); }
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_RELAY_CONTEXT_H_
