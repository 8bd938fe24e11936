#include "plugins/requests/request_metrics.h"

#include <chrono>

namespace flamingogauge {
namespace {}  // namespace

void RequestMetrics::CountAccepted(const std::string& tier) {
  registry_->Add("flamingogauge_requests_total", Label("tier", tier));
}

void RequestMetrics::CountRefusal(RefusalKind kind) {
  registry_->Add("flamingogauge_refusals_total", Label("kind", ToString(kind)));
}

void RequestMetrics::CountCompleted(const std::string& tier, bool in_time) {
  registry_->Add("flamingogauge_completed_total", Label("tier", tier));
  if (in_time) {
    registry_->Add("flamingogauge_goodput_total", Label("tier", tier));
  }
}

void RequestMetrics::ObserveFirstToken(const std::string& tier, Duration time) {
  registry_->Observe("flamingogauge_first_token_seconds", Label("tier", tier),
                     ToSeconds(time));
}

void RequestMetrics::ObserveGap(const std::string& tier, Duration time) {
  registry_->Observe("flamingogauge_token_gap_seconds", Label("tier", tier),
                     ToSeconds(time));
}

void RequestMetrics::CountWastedPrefill(std::string_view cause,
                                        std::uint32_t tokens) {
  registry_->Add("flamingogauge_wasted_prefill_tokens_total",
                 Label("cause", cause), tokens);
}

void RequestMetrics::CountPrefill(std::uint32_t tokens) {
  registry_->Add("flamingogauge_prefill_tokens_total", "", tokens);
}

}  // namespace flamingogauge
