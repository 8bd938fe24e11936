#include "plugins/gateway/closed_connections.h"

#include <string>

namespace flamingogauge {
namespace {

constexpr int kLinesPerSecond = 5;

}  // namespace

ClosedConnections::ClosedConnections(EventLog& log, MetricsRegistry& metrics)
    : log_(log),
      metrics_(metrics),
      limiters_{LineLimiter(kLinesPerSecond), LineLimiter(kLinesPerSecond),
                LineLimiter(kLinesPerSecond)} {}

void ClosedConnections::OnClosed(CloseReason reason,
                                 std::size_t held_bytes,
                                 MonotonicTime now) {
  metrics_.Add("flamingogauge_closed_connections_total",
               Label("reason", ToString(reason)));
  const auto left_out =
      limiters_.at(static_cast<std::size_t>(reason)).Allow(now);
  if (left_out) {
    log_.Write(EventLine("connection.closed")
                   .Text("reason", ToString(reason))
                   .Number("held_bytes", static_cast<std::int64_t>(held_bytes))
                   .Number("left_out", *left_out));
  }
}

}  // namespace flamingogauge
