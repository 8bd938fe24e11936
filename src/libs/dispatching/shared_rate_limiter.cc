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

void SharedRateLimiter::OnPeerUsage(const std::string& host,
                                    std::uint64_t process,
                                    const UsageByWorkspace& usage,
                                    MonotonicTime now) {
  Peer& peer = peers_[host];
  const bool is_new = peer.process != process;
  const double elapsed = std::max(0.05, ToSeconds(now - peer.last_report_at));
  const bool in_startup_sync = now - started_at_ < kStartupSyncTime;
  if (is_new) {
    peer = {.process = process};
  }
  for (const auto& [name, reported] : usage) {
    PeerUsage& known = peer.usage[name];
    const double delta = reported.spent - known.spent;
    known.spent = reported.spent;
    // Usage from before a host's first report is either already reflected in
    // the credits adopted at startup or too old to matter.
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
  peer.last_report_at = now;
}

double SharedRateLimiter::ReachableFraction(MonotonicTime now) const {
  std::size_t reachable_hosts = 1;
  for (const auto& [host, peer] : peers_) {
    reachable_hosts += now - peer.last_report_at <= report_lifetime_ ? 1 : 0;
  }
  return std::min(
      1.0, static_cast<double>(reachable_hosts) /
               static_cast<double>(std::max(host_count_, reachable_hosts)));
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
  double units = 0;
  for (const auto& [host, peer] : peers_) {
    const auto it = peer.usage.find(workspace);
    if (it != peer.usage.end() &&
        now - peer.last_report_at <= report_lifetime_) {
      units += it->second.rate * ToSeconds(now - peer.last_report_at);
    }
  }
  return units;
}

bool SharedRateLimiter::TrySpend(const WorkspaceEntry& workspace,
                                 double amount,
                                 MonotonicTime now) {
  const auto it = buckets_.find(workspace.name);
  if (it == buckets_.end()) {
    return true;
  }
  Bucket& bucket = it->second;
  Refill(bucket, now);
  // A request larger than the remaining credits is admitted and drives the
  // balance negative.
  if (bucket.credits - EstimateUnreportedUsage(workspace.name, now) <= 0) {
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
                                                MonotonicTime now) {
  const auto it = buckets_.find(workspace.name);
  if (it == buckets_.end()) {
    return milliseconds(0);
  }
  Refill(it->second, now);
  const double missing =
      EstimateUnreportedUsage(workspace.name, now) - it->second.credits;
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
