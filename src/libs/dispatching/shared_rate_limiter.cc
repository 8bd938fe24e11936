#include "libs/dispatching/shared_rate_limiter.h"

#include <algorithm>
#include <utility>

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

// A new process does not know how much was spent before it started, so it
// starts with only this fraction of the burst.
constexpr double kInitialCreditFraction = 0.5;
// For this long after the start, lower credit values reported by other hosts
// replace the local one.
constexpr std::chrono::seconds kStartupSyncTime{2};
// Weight of the newest report in the moving average of a host's rate.
constexpr double kRateSmoothing = 0.5;
// Lower bound of the interval, in seconds, that a rate is computed over.
constexpr double kMinReportInterval = 0.05;
constexpr milliseconds kMaxWait{10000};

}  // namespace

void SharedRateLimiter::SetLimits(const RoutingTable& table,
                                  MonotonicTime now) {
  std::map<std::string, Bucket> next;
  for (const WorkspaceEntry& it : table.workspaces) {
    if (it.rate_per_second <= 0) {
      continue;
    }
    const auto known = buckets_.find(it.name);
    Bucket bucket;
    if (known == buckets_.end()) {
      bucket.credits = it.burst * kInitialCreditFraction;
      bucket.updated_at = now;
    } else {
      bucket = known->second;
      Refill(bucket, now);
    }
    bucket.rate = it.rate_per_second;
    bucket.burst = it.burst;
    bucket.credits = std::min(bucket.credits, bucket.burst);
    next.emplace(it.name, bucket);
  }
  buckets_ = std::move(next);
}

void SharedRateLimiter::OnOthersUsage(std::uint64_t reporter,
                                      const UsageByWorkspace& usage,
                                      std::size_t reachable_hosts,
                                      MonotonicTime now) {
  const bool is_new = reporter != reporter_;
  const double elapsed =
      std::max(kMinReportInterval, ToSeconds(now - reported_at_));
  const bool in_startup_sync = now - started_at_ < kStartupSyncTime;
  reporter_ = reporter;
  reachable_hosts_ = std::max<std::size_t>(1, reachable_hosts);
  for (const auto& [name, reported] : usage) {
    OthersUsage& known = others_[name];
    const double delta = reported.spent - known.spent;
    known.spent = reported.spent;
    // Usage from before a reporter's first report is either already reflected
    // in the credits or too old to matter.
    if (!is_new) {
      known.rate = known.rate * (1 - kRateSmoothing) +
                   std::max(0.0, delta) / elapsed * kRateSmoothing;
    }
    const auto bucket = buckets_.find(name);
    if (bucket == buckets_.end()) {
      continue;
    }
    Refill(bucket->second, now);
    if (!is_new) {
      bucket->second.credits -= delta;
    }
    if (in_startup_sync) {
      bucket->second.credits =
          std::min(bucket->second.credits, reported.credits);
    }
  }
  reported_at_ = now;
}

bool SharedRateLimiter::HasReport(MonotonicTime now) const {
  return reporter_ != 0 && now - reported_at_ <= report_lifetime_;
}

double SharedRateLimiter::ReachableFraction(MonotonicTime now) const {
  const std::size_t reachable = HasReport(now) ? reachable_hosts_ : 1;
  return std::min(1.0,
                  static_cast<double>(reachable) /
                      static_cast<double>(std::max(host_count_, reachable)));
}

void SharedRateLimiter::Refill(Bucket& bucket, MonotonicTime now) const {
  const double elapsed = std::max(0.0, ToSeconds(now - bucket.updated_at));
  const double fraction = ReachableFraction(now);
  bucket.updated_at = now;
  bucket.credits = std::min(bucket.burst * fraction,
                            bucket.credits + elapsed * bucket.rate * fraction);
}

double SharedRateLimiter::EstimateUnreportedUsage(const std::string& workspace,
                                                  MonotonicTime now) const {
  const auto it = others_.find(workspace);
  if (it == others_.end() || !HasReport(now)) {
    return 0;
  }
  return it->second.rate * ToSeconds(now - reported_at_);
}

double SharedRateLimiter::ReservedFor(const Bucket& bucket,
                                      int priority,
                                      MonotonicTime now) const {
  return bucket.burst * ReachableFraction(now) *
         bucket.reserve.PartFor(priority, now);
}

bool SharedRateLimiter::IsWithinLimit(const WorkspaceEntry& workspace,
                                      double amount,
                                      MonotonicTime now,
                                      int priority) const {
  const auto it = buckets_.find(workspace.name);
  if (it == buckets_.end()) {
    return true;
  }
  Bucket bucket = it->second;
  Refill(bucket, now);
  bucket.reserve.OnDemand(priority, amount, now);
  return HasCredits(workspace.name, bucket, now, priority);
}

bool SharedRateLimiter::HasCredits(const std::string& workspace,
                                   const Bucket& bucket,
                                   MonotonicTime now,
                                   int priority) const {
  // A request larger than the remaining credits is admitted and drives the
  // balance negative.
  return bucket.credits - EstimateUnreportedUsage(workspace, now) >
         ReservedFor(bucket, priority, now);
}

bool SharedRateLimiter::TrySpend(const WorkspaceEntry& workspace,
                                 double amount,
                                 MonotonicTime now,
                                 int priority) {
  const auto it = buckets_.find(workspace.name);
  if (it == buckets_.end()) {
    return true;
  }
  Bucket& bucket = it->second;
  Refill(bucket, now);
  bucket.reserve.OnDemand(priority, amount, now);
  if (!HasCredits(workspace.name, bucket, now, priority)) {
    return false;
  }
  bucket.credits -= amount;
  bucket.own_spent += amount;
  return true;
}

void SharedRateLimiter::Refund(const WorkspaceEntry& workspace, double amount) {
  const auto it = buckets_.find(workspace.name);
  if (it != buckets_.end()) {
    it->second.credits += amount;
    it->second.own_spent -= amount;
  }
}

milliseconds SharedRateLimiter::TimeUntilCredit(const WorkspaceEntry& workspace,
                                                MonotonicTime now,
                                                int priority) const {
  const auto it = buckets_.find(workspace.name);
  if (it == buckets_.end()) {
    return milliseconds(0);
  }
  Bucket bucket = it->second;
  Refill(bucket, now);
  const double missing = EstimateUnreportedUsage(workspace.name, now) -
                         bucket.credits + ReservedFor(bucket, priority, now);
  const double rate = it->second.rate * ReachableFraction(now);
  const double wait = rate > 0 ? std::max(0.0, missing) / rate : 0;
  return std::min(kMaxWait,
                  milliseconds(static_cast<std::int64_t>(wait * 1000)));
}

UsageByWorkspace SharedRateLimiter::OwnUsage(MonotonicTime now) {
  UsageByWorkspace usage;
  for (auto& [name, bucket] : buckets_) {
    Refill(bucket, now);
    usage[name] = {.spent = bucket.own_spent, .credits = bucket.credits};
  }
  return usage;
}

}  // namespace flamingogauge
