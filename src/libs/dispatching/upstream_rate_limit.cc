#include "libs/dispatching/upstream_rate_limit.h"

#include <algorithm>

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

// The least requests per second that all hosts together send, so that they
// learn when a limit of zero ends.
constexpr double kMinRequestsPerSecond = 0.5;
// What is not used of a limit can be used later: so much of it, or one request.
constexpr double kBurstSeconds = 0.25;
constexpr double kMinBurst = 1;
// The most requests that are made up for after too many were sent.
constexpr double kMaxDebt = 1;
// The end of a limit is reported for this time, as messages may be lost.
constexpr std::chrono::seconds kEndRepetition{2};
// A limit that nobody has reported for this time has ended unnoticed.
constexpr std::chrono::seconds kReportLifetime{10};
// Two reports of one statement differ by the time that they took.
constexpr milliseconds kMaxReportDelay{100};

}  // namespace

bool UpstreamRateLimit::OnStatement(const RateLimitStatement& statement) {
  if (!statement.requests_per_second &&
      (!requests_per_second_ || statement.request_sent_at <= *stated_at_)) {
    return false;
  }
  const bool is_news = requests_per_second_ != statement.requests_per_second ||
                       HasExpired(statement.stated_at);
  SetLimit(statement.requests_per_second, statement.stated_at);
  stated_at_ = statement.stated_at;
  source_ = RateLimitSource::kHost;
  reported_at_.reset();
  return is_news;
}

void UpstreamRateLimit::OnReport(const ReportedRateLimit& report,
                                 MonotonicTime now) {
  if (HasExpired(now)) {
    SetLimit(std::nullopt, now);
    stated_at_.reset();
    reported_at_.reset();
  }
  if (requests_per_second_ == report.requests_per_second) {
    // What this host has read itself does not depend on reports.
    if (reported_at_) {
      reported_at_ = now;
      stated_at_ = std::max(*stated_at_, report.stated_at);
      source_ = std::min(source_, report.source);
    }
    return;
  }
  if (stated_at_ && report.stated_at <= *stated_at_ + kMaxReportDelay) {
    return;
  }
  SetLimit(report.requests_per_second, now);
  stated_at_ = report.stated_at;
  source_ = report.source;
  reported_at_ = now;
}

void UpstreamRateLimit::SetShare(double share, MonotonicTime now) {
  Refill(now);
  share_ = share;
}

bool UpstreamRateLimit::AdmitsRequest(MonotonicTime now) const {
  return !requests_per_second_ || HasExpired(now) || Credits(now) >= 1;
}

void UpstreamRateLimit::OnSent(MonotonicTime now) {
  if (!requests_per_second_) {
    return;
  }
  Refill(now);
  credits_ = std::max(-kMaxDebt, credits_ - 1);
}

std::optional<ReportedRateLimit> UpstreamRateLimit::Report(
    MonotonicTime now) const {
  const bool is_old =
      !requests_per_second_ && stated_at_ && now - *stated_at_ > kEndRepetition;
  if (!stated_at_ || is_old || HasExpired(now)) {
    return std::nullopt;
  }
  return ReportedRateLimit{.requests_per_second = requests_per_second_,
                           .stated_at = *stated_at_,
                           .source = source_};
}

double UpstreamRateLimit::Rate() const {
  return std::max(kMinRequestsPerSecond, requests_per_second_.value_or(0)) *
         share_;
}

double UpstreamRateLimit::Credits(MonotonicTime now) const {
  const double most = std::max(kMinBurst, Rate() * kBurstSeconds);
  const double earned = ToSeconds(now - refilled_at_) * Rate();
  return std::min(most, credits_ + std::max(0.0, earned));
}

void UpstreamRateLimit::Refill(MonotonicTime now) {
  credits_ = Credits(now);
  refilled_at_ = now;
}

void UpstreamRateLimit::SetLimit(std::optional<double> requests_per_second,
                                 MonotonicTime now) {
  if (requests_per_second_) {
    Refill(now);
  } else {
    credits_ = 0;
    refilled_at_ = now;
  }
  requests_per_second_ = requests_per_second;
}

bool UpstreamRateLimit::HasExpired(MonotonicTime now) const {
  return requests_per_second_ && reported_at_ &&
         now - *reported_at_ > kReportLifetime;
}

}  // namespace flamingogauge
