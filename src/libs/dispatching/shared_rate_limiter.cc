#include "libs/dispatching/shared_rate_limiter.h"

#include <algorithm>
#include <utility>

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

// A process that starts does not know what was spent before it.
constexpr double kCreditPartAtStart = 0.5;
// For this long it takes over what others believe to be left.
constexpr std::chrono::seconds kLearningTime{2};
// Weight of the newest report in a host's rate.
constexpr double kRateWeight = 0.5;
constexpr milliseconds kLongestWait{10000};

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
      bucket.credits = it.burst * kCreditPartAtStart;
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
  const double elapsed = std::max(0.05, ToSeconds(now - peer.heard_at));
  const bool learning = now - started_at_ < kLearningTime;
  if (is_new) {
    peer = {.process = process};
  }
  for (const auto& [name, reported] : usage) {
    PeerUsage& known = peer.usage[name];
    const double delta = reported.spent - known.spent;
    known.spent = reported.spent;
    // What a host had spent before it was first heard is in the credits that
    // were taken over at the start, or too old to matter.
    if (!is_new) {
      known.rate = known.rate * (1 - kRateWeight) +
                   std::max(0.0, delta) / elapsed * kRateWeight;
    }
    const auto bucket = buckets_.find(name);
    if (bucket == buckets_.end()) {
      continue;
    }
    Refill(bucket->second, now);
    if (!is_new) {
      bucket->second.credits -= delta;
    }
    if (learning) {
      bucket->second.credits =
          std::min(bucket->second.credits, reported.credits);
    }
  }
  peer.heard_at = now;
}

double SharedRateLimiter::ReachablePart(MonotonicTime now) const {
  std::size_t heard = 1;
  for (const auto& [host, peer] : peers_) {
    heard += now - peer.heard_at <= report_lifetime_ ? 1 : 0;
  }
  return std::min(1.0, static_cast<double>(heard) /
                           static_cast<double>(std::max(host_count_, heard)));
}

void SharedRateLimiter::Refill(Bucket& bucket, MonotonicTime now) const {
  const double elapsed = std::max(0.0, ToSeconds(now - bucket.updated_at));
  const double part = ReachablePart(now);
  bucket.updated_at = now;
  bucket.credits = std::min(bucket.burst * part,
                            bucket.credits + elapsed * bucket.rate * part);
}

double SharedRateLimiter::Unreported(const std::string& workspace,
                                     MonotonicTime now) const {
  double units = 0;
  for (const auto& [host, peer] : peers_) {
    const auto it = peer.usage.find(workspace);
    if (it != peer.usage.end() && now - peer.heard_at <= report_lifetime_) {
      units += it->second.rate * ToSeconds(now - peer.heard_at);
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
  // A single request may be larger than what is left; it goes into debt.
  if (bucket.credits - Unreported(workspace.name, now) <= 0) {
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
  const double missing = Unreported(workspace.name, now) - it->second.credits;
  const double rate = it->second.rate * ReachablePart(now);
  const double wait = rate > 0 ? std::max(0.0, missing) / rate : 0;
  return std::min(kLongestWait,
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
