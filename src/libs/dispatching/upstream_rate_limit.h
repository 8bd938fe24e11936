#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_UPSTREAM_RATE_LIMIT_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_UPSTREAM_RATE_LIMIT_H_

#include <optional>

#include "libs/kernel/time.h"

namespace flamingogauge {

// What a response said of the rate of requests that its upstream takes.
struct RateLimitStatement {
  // Requests per second from all hosts together; none if it takes any number.
  std::optional<double> requests_per_second;
  // When the request was sent that the response belongs to.
  MonotonicTime request_sent_at;
  // When the response began to arrive.
  MonotonicTime stated_at;
};

// The limit on the rate of requests that an upstream has stated, as known to
// one host.
class UpstreamRateLimit {
 public:
  // Applies what a response to this host said. Returns true if that changes
  // the limit. A limit ends with a response that states none, unless its
  // request was sent before the limit was last stated: the response may then be
  // the older one.
  bool OnStatement(const RateLimitStatement& statement);

  // Requests per second from all hosts together; none without a limit.
  std::optional<double> requests_per_second() const {
    return requests_per_second_;
  }

 private:
  std::optional<double> requests_per_second_;
  MonotonicTime stated_at_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_UPSTREAM_RATE_LIMIT_H_
