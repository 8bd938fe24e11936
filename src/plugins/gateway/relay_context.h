#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_RELAY_CONTEXT_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_RELAY_CONTEXT_H_

#include <boost/asio/io_context.hpp>

#include <functional>

#include "libs/dispatching/crash_history.h"
#include "libs/dispatching/dispatcher.h"
#include "libs/dispatching/resend_budget.h"
#include "libs/dispatching/shared_rate_limiter.h"
#include "libs/kernel/event_log.h"
#include "libs/metrics/metrics_registry.h"
#include "libs/services/fleet_source.h"
#include "plugins/gateway/gateway_settings.h"
#include "plugins/gateway/upstream_connections.h"

namespace flamingogauge {

// What all exchanges of one host share; owned by the relay and used on its
// thread only.
struct RelayContext {
  boost::asio::io_context& io;
  GatewaySettings settings;
  EventLog& log;
  MetricsRegistry& metrics;
  FleetSnapshot fleet;
  Dispatcher dispatcher;
  SharedRateLimiter rate_limiter;
  ResendBudget resends;
  CrashHistory crashes;
  UpstreamConnections connections;
  bool draining = false;
  // Places waiting requests soon, after the current event has been handled.
  std::function<void()> schedule_placement;
  // Tells the hosts nearby soon what runs where.
  std::function<void()> on_load_changed;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_RELAY_CONTEXT_H_
