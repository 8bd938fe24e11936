#ifndef FLAMINGOGAUGE_PLUGINS_REQUESTS_REQUEST_METRICS_H_
#define FLAMINGOGAUGE_PLUGINS_REQUESTS_REQUEST_METRICS_H_

#include <string>

#include "libs/kernel/time.h"
#include "libs/metrics/metrics_registry.h"
#include "libs/model/permit.h"
#include "libs/model/refusal.h"

namespace flamingogauge {

// Metrics of requests. The labels are tiers, kinds and causes, so that their
// cardinality is bounded.
class RequestMetrics {
 public:
  explicit RequestMetrics(MetricsRegistry* registry) : registry_(registry) {}

  void CountAccepted(const std::string& tier);
  void CountRefusal(RefusalKind kind);
  // Counts a completed response. Goodput includes it if it met its deadline
  // and, for engines, its first token met the tier's target (`in_time`).
  void CountCompleted(const std::string& tier, bool in_time);
  void ObserveFirstToken(const std::string& tier, Duration time);
  void ObserveGap(const std::string& tier, Duration time);
  // Counts prefill tokens computed for a response that was not used.
  void CountWastedPrefill(std::string_view cause, std::uint32_t tokens);
  void CountPrefill(std::uint32_t tokens);

 private:
  MetricsRegistry* const registry_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_REQUESTS_REQUEST_METRICS_H_
