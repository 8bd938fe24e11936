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

ReportedRateLimit FromRateLimitReport(const RateLimitReport& report,
                                      RateLimitSource source,
                                      MonotonicTime now) {
  return {.requests_per_second = report.requests_per_second,
          .stated_at = now - report.age,
          .source = source};
}

}  // namespace flamingogauge
