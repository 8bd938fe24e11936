#ifndef FLAMINGOGAUGE_PLUGINS_REQUESTS_REQUEST_METRICS_H_
#define FLAMINGOGAUGE_PLUGINS_REQUESTS_REQUEST_METRICS_H_

#include <string>

#include "libs/kernel/time.h"
#include "libs/metrics/metrics_registry.h"
#include "libs/model/permit.h"
#include "libs/model/refusal.h"

namespace flamingogauge {

// Counts what happens to requests. Labels are tiers, kinds and causes, whose
// number is bounded.
class RequestMetrics {
 public:
  explicit RequestMetrics(MetricsRegistry* registry) : registry_(registry) {}

  void CountAccepted(const std::string& tier);
  void CountRefusal(RefusalKind kind);
  // An answer was completed; goodput counts it when it was within its deadline
  // and, for engines, its first token within the tier's target.
  void CountCompleted(const std::string& tier, bool in_time);
  void ObserveFirstToken(const std::string& tier, Duration time);
  void ObserveGap(const std::string& tier, Duration time);
  // Prefill that was computed for an answer that is of no use.
  void CountWastedPrefill(std::string_view cause, std::uint32_t tokens);
  void CountPrefill(std::uint32_t tokens);

 private:
  MetricsRegistry* const registry_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_REQUESTS_REQUEST_METRICS_H_
