#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_SHARED_RATE_LIMITER_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_SHARED_RATE_LIMITER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "libs/dispatching/urgent_reserve.h"
#include "libs/kernel/time.h"
#include "libs/routing/routing_table.h"

namespace flamingogauge {

// One host's usage of a workspace's limit, as reported to other hosts.
struct WorkspaceUsage {
  // Units spent since the host's process started; decreases on refunds.
  double spent = 0;
  // The host's estimate of the credits left for all hosts together.
  double credits = 0;
};

using UsageByWorkspace = std::map<std::string, WorkspaceUsage>;

// Enforces a workspace's rate limit across all hosts. Each host keeps a copy of
// the workspace's token bucket, spends from it, and subtracts what a
// coordinator reports of the usage of all other hosts. Between two reports it
// extrapolates their usage from the last measured rate. Hosts that the
// coordinator does not reach keep their fraction of the limit, so that the
// total also stays within the limit during a network partition.
class SharedRateLimiter {
 public:
  explicit SharedRateLimiter(MonotonicTime started_at)
      : started_at_(started_at) {}

  // Applies the limits of a new routing table.
  void SetLimits(const RoutingTable& table, MonotonicTime now);

  // The number of registered hosts, including this one; at least 1.
  void SetHostCount(std::size_t hosts) { host_count_ = hosts; }

  // How long the newest report of a host stays valid.
  void SetReportLifetime(std::chrono::milliseconds lifetime) {
    report_lifetime_ = lifetime;
  }

  // Merges a report of what the other hosts have spent. `reporter` identifies
  // the process that adds it up; another one begins with other sums.
  // `reachable_hosts` is the number of hosts that it hears of, including this
  // one.
  void OnOthersUsage(std::uint64_t reporter,
                     const UsageByWorkspace& usage,
                     std::size_t reachable_hosts,
                     MonotonicTime now);

  // True if TrySpend() would succeed now.
  bool IsWithinLimit(const WorkspaceEntry& workspace,
                     double amount,
                     MonotonicTime now,
                     int priority = 0) const;

  // Returns true and spends `amount` when the workspace is within its limit.
  // Requests of a `priority` above 0 leave a reserve to the more urgent ones of
  // the workspace.
  bool TrySpend(const WorkspaceEntry& workspace,
                double amount,
                MonotonicTime now,
                int priority = 0);
  // Returns the units of a request that was not executed.
  void Refund(const WorkspaceEntry& workspace, double amount);

  // The time until TrySpend() can succeed again for requests of `priority`.
  std::chrono::milliseconds TimeUntilCredit(const WorkspaceEntry& workspace,
                                            MonotonicTime now,
                                            int priority = 0) const;

  UsageByWorkspace OwnUsage(MonotonicTime now);

 private:
  struct Bucket {
    double rate = 0;
    double burst = 0;
    double credits = 0;
    double own_spent = 0;
    MonotonicTime updated_at;
    UrgentReserve reserve;
  };
  struct OthersUsage {
    double spent = 0;
    // Units per second, averaged over recent reports.
    double rate = 0;
  };

  bool HasReport(MonotonicTime now) const;
  double ReachableFraction(MonotonicTime now) const;
  // Credits that requests of `priority` leave to more urgent ones.
  double ReservedFor(const Bucket& bucket,
                     int priority,
                     MonotonicTime now) const;
  void Refill(Bucket& bucket, MonotonicTime now) const;
  // True if a bucket that is refilled up to `now` has more credits than are
  // reserved for requests of a more urgent priority.
  bool HasCredits(const std::string& workspace,
                  const Bucket& bucket,
                  MonotonicTime now,
                  int priority) const;
  // Estimates what other hosts have spent since their last reports.
  double EstimateUnreportedUsage(const std::string& workspace,
                                 MonotonicTime now) const;

  MonotonicTime started_at_;
  std::size_t host_count_ = 1;
  std::chrono::milliseconds report_lifetime_{1500};
  std::map<std::string, Bucket> buckets_;
  // The latest report.
  std::uint64_t reporter_ = 0;
  MonotonicTime reported_at_;
  std::size_t reachable_hosts_ = 1;
  std::map<std::string, OthersUsage> others_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_SHARED_RATE_LIMITER_H_
