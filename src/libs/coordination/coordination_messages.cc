#include "libs/coordination/coordination_messages.h"

namespace flamingogauge {

RateLimitReport ToRateLimitReport(std::uint64_t upstream,
                                  const ReportedRateLimit& limit,
                                  MonotonicTime now) {
  return {.upstream = upstream,
          .requests_per_second = limit.requests_per_second,
          .age = std::chrono::duration_cast<std::chrono::milliseconds>(
              now - limit.stated_at)};
}

}  // namespace flamingogauge
