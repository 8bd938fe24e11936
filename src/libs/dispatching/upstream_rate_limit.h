#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_UPSTREAM_RATE_LIMIT_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_UPSTREAM_RATE_LIMIT_H_

#include <chrono>
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

// Whether a report of a limit may be passed on to coordinators of other data
// centres: only what hosts have read in responses is, so that no report comes
// back to where it began.
enum class RateLimitSource { kHost, kCoordinator };

// What another host has read of an upstream's limit.
struct ReportedRateLimit {
  std::optional<double> requests_per_second;
  // When the response began to arrive there; late by the time that the report
  // took.
  MonotonicTime stated_at;
  RateLimitSource source = RateLimitSource::kHost;
};

// The limit on the rate of requests that an upstream has stated, and the part
// of it that one deciding process may use. The parts of all of them add up to
// the limit, so that it holds although they do not ask each other.
class UpstreamRateLimit {
 public:
  // Applies what a response to this host said. Returns true if that changes
  // the limit. A limit ends with a response that states none, unless its
  // request was sent before the limit was last stated: the response may then be
  // the older one.
  bool OnStatement(const RateLimitStatement& statement);
  // Applies what another host has read, if that is newer.
  void OnReport(const ReportedRateLimit& report, MonotonicTime now);
  // Sets the part of the limit that may be used here, 0 to 1.
  void SetShare(double share, MonotonicTime now);

  // Requests per second from all hosts together; none without a limit.
  std::optional<double> requests_per_second() const {
    return requests_per_second_;
  }
  // The part of the limit that may be used here, in requests per second; 0
  // without a limit.
  double UsableRate() const { return requests_per_second_ ? Rate() : 0; }
  // True if a request may be sent now.
  bool AdmitsRequest(MonotonicTime now) const;
  void OnSent(MonotonicTime now);

  // What to tell others: a limit as long as it holds, its end for a while. None
  // if there is nothing to tell.
  std::optional<ReportedRateLimit> Report(MonotonicTime now) const;

 private:
  double Rate() const;
  double Credits(MonotonicTime now) const;
  void Refill(MonotonicTime now);
  void SetLimit(std::optional<double> requests_per_second, MonotonicTime now);
  bool HasExpired(MonotonicTime now) const;

  std::optional<double> requests_per_second_;
  // Of the newest statement that is known.
  std::optional<MonotonicTime> stated_at_;
  RateLimitSource source_ = RateLimitSource::kHost;
  // When others last reported it; none if this host has read it itself.
  std::optional<MonotonicTime> reported_at_;
  double share_ = 1;
  // Requests that may be sent now; below zero after others were sent that did
  // not ask.
  double credits_ = 0;
  MonotonicTime refilled_at_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_UPSTREAM_RATE_LIMIT_H_
