#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_CLOSED_CONNECTIONS_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_CLOSED_CONNECTIONS_H_

#include <array>
#include <cstddef>

#include "libs/kernel/event_log.h"
#include "libs/kernel/line_limiter.h"
#include "libs/metrics/metrics_registry.h"
#include "plugins/gateway/session_pool.h"

namespace flamingogauge {

// Counts and logs the connections that are closed because of a bound.
class ClosedConnections {
 public:
  ClosedConnections(EventLog& log, MetricsRegistry& metrics);

  void OnClosed(CloseReason reason, std::size_t held_bytes, MonotonicTime now);

 private:
  EventLog& log_;
  MetricsRegistry& metrics_;
  // By reason.
  std::array<LineLimiter, kCloseReasonCount> limiters_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_CLOSED_CONNECTIONS_H_
