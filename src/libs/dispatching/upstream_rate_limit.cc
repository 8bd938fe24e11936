#include "libs/dispatching/upstream_rate_limit.h"

#include <utility>

namespace flamingogauge {

bool UpstreamRateLimit::OnStatement(const RateLimitStatement& statement) {
  if (!statement.requests_per_second &&
      statement.request_sent_at <= stated_at_) {
    return false;
  }
  stated_at_ = statement.stated_at;
  const std::optional<double> before =
      std::exchange(requests_per_second_, statement.requests_per_second);
  return before != requests_per_second_;
}

}  // namespace flamingogauge
