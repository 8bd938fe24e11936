#include "libs/dispatching/allotments.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPeerLifetime{1500};
// The time over which demand is averaged.
constexpr double kDemandSeconds = 1.0;
// The part of a limit that is shared evenly, so that a host without demand can
// serve the first requests of a workspace.
constexpr double kEvenPart = 0.2;
constexpr milliseconds kLongestWait{10000};

}  // namespace

void Allotments::SetLimits(const RoutingTable& table, MonotonicTime now) {
  std::map<std::string, Bucket> next;
  for (const WorkspaceEntry& it : table.workspaces) {
    if (it.rate_per_second <= 0) {
      continue;
    }
    const auto known = buckets_.find(it.name);
    Bucket bucket = known == buckets_.end() ? Bucket{} : known->second;
    const bool is_new = known == buckets_.end();
    bucket.rate = it.rate_per_second;
    bucket.burst = it.burst;
    if (is_new) {
      bucket.updated_at = now;
      bucket.share = Share(it.name, 0, now);
      bucket.credits = bucket.burst * bucket.share;
    }
    bucket.credits = std::min(bucket.credits, bucket.burst * bucket.share);
    next.emplace(it.name, bucket);
  }
  buckets_ = std::move(next);
}

void Allotments::OnPeerDemand(const std::string& host,
                              std::map<std::string, double> demand,
                              MonotonicTime now) {
  peers_[host] = {.received_at = now, .demand = std::move(demand)};
}

double Allotments::Share(const std::string& name,
                         double own_demand,
                         MonotonicTime now) const {
  double total = own_demand;
  std::size_t heard = 1;
  for (const auto& [host, peer] : peers_) {
    if (now - peer.received_at > kPeerLifetime) {
      continue;
    }
    ++heard;
    const auto it = peer.demand.find(name);
    total += it == peer.demand.end() ? 0 : it->second;
  }
  const auto live = static_cast<double>(heard);
  const double reachable =
      std::min(1.0, live / static_cast<double>(std::max(host_count_, heard)));
  const double by_demand = total > 0 ? own_demand / total : 1 / live;
  return reachable * (kEvenPart / live + (1 - kEvenPart) * by_demand);
}

void Allotments::Update(const std::string& name,
                        Bucket& bucket,
                        MonotonicTime now) {
  const double elapsed = std::max(
      0.0, std::chrono::duration<double>(now - bucket.updated_at).count());
  bucket.updated_at = now;
  bucket.demand *= std::exp(-elapsed / kDemandSeconds);
  bucket.share = Share(name, bucket.demand, now);
  bucket.credits = std::min(bucket.burst * bucket.share,
                            bucket.credits + elapsed * bucket.rate *
                                                 bucket.share);
}

bool Allotments::TrySpend(const WorkspaceEntry& workspace,
                          double amount,
                          MonotonicTime now) {
  const auto it = buckets_.find(workspace.name);
  if (it == buckets_.end()) {
    return true;
  }
  Bucket& bucket = it->second;
  bucket.demand += amount / kDemandSeconds;
  Update(workspace.name, bucket, now);
  // A single request may be larger than the stock; it goes into debt.
  if (bucket.credits <= 0) {
    return false;
  }
  bucket.credits -= amount;
  return true;
}

void Allotments::Refund(const WorkspaceEntry& workspace, double amount) {
  const auto it = buckets_.find(workspace.name);
  if (it != buckets_.end()) {
    it->second.credits += amount;
  }
}

milliseconds Allotments::TimeUntil(const WorkspaceEntry& workspace,
                                   double amount) const {
  const auto it = buckets_.find(workspace.name);
  if (it == buckets_.end() || it->second.rate * it->second.share <= 0) {
    return milliseconds(1000);
  }
  const Bucket& bucket = it->second;
  const double missing = std::max(0.0, amount / 2 - bucket.credits);
  const double wait = missing / (bucket.rate * bucket.share);
  return std::min(kLongestWait,
                  milliseconds(static_cast<std::int64_t>(wait * 1000)));
}

std::map<std::string, double> Allotments::OwnDemand(MonotonicTime now) {
  std::map<std::string, double> demand;
  for (auto& [name, bucket] : buckets_) {
    Update(name, bucket, now);
    if (bucket.demand >= 1) {
      demand[name] = bucket.demand;
    }
  }
  return demand;
}

}  // namespace flamingogauge
