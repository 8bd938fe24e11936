#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_SHARED_RATE_LIMITER_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_SHARED_RATE_LIMITER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "libs/kernel/time.h"
#include "libs/routing/routing_table.h"

namespace flamingogauge {

// What one host has spent of a workspace's limit, as it tells other hosts.
struct WorkspaceUsage {
  // Units since the host's process started; falls when units are given back.
  double spent = 0;
  // What the host believes to be left for all hosts together.
  double credits = 0;
};

using UsageByWorkspace = std::map<std::string, WorkspaceUsage>;

// Keeps the sum of what all hosts admit for a workspace within its limit. Each
// host keeps a copy of the workspace's token bucket, spends from it, and takes
// off what other hosts report. Between two reports it assumes that they go on
// as before. The part of the limit that belongs to hosts that are not heard is
// left to them, so that the sum also holds when hosts are cut off.
class SharedRateLimiter {
 public:
  explicit SharedRateLimiter(MonotonicTime started_at)
      : started_at_(started_at) {}

  // Takes the limits of a new routing table.
  void SetLimits(const RoutingTable& table, MonotonicTime now);

  // The number of hosts that are registered, with this one; at least 1.
  void SetHostCount(std::size_t hosts) { host_count_ = hosts; }

  // For how long the newest report of a host counts.
  void SetReportLifetime(std::chrono::milliseconds lifetime) {
    report_lifetime_ = lifetime;
  }

  // The usage of another host; `process` differs after a restart.
  void OnPeerUsage(const std::string& host,
                   std::uint64_t process,
                   const UsageByWorkspace& usage,
                   MonotonicTime now);

  // Returns true and spends `amount` when the workspace is within its limit.
  bool TrySpend(const WorkspaceEntry& workspace,
                double amount,
                MonotonicTime now);
  // Gives back what was spent for a request that did not run.
  void Refund(const WorkspaceEntry& workspace, double amount);

  // How long the workspace has to wait until it can spend again.
  std::chrono::milliseconds TimeUntilCredit(const WorkspaceEntry& workspace,
                                            MonotonicTime now);

  UsageByWorkspace OwnUsage(MonotonicTime now);

 private:
  struct Bucket {
    double rate = 0;
    double burst = 0;
    double credits = 0;
    double own_spent = 0;
    MonotonicTime updated_at;
  };
  struct PeerUsage {
    double spent = 0;
    // Units a second between the last two reports.
    double rate = 0;
  };
  struct Peer {
    std::uint64_t process = 0;
    MonotonicTime heard_at;
    std::map<std::string, PeerUsage> usage;
  };

  double ReachablePart(MonotonicTime now) const;
  void Refill(Bucket& bucket, MonotonicTime now) const;
  // What hosts have probably spent since their last reports.
  double Unreported(const std::string& workspace, MonotonicTime now) const;

  MonotonicTime started_at_;
  std::size_t host_count_ = 1;
  std::chrono::milliseconds report_lifetime_{1500};
  std::map<std::string, Bucket> buckets_;
  std::map<std::string, Peer> peers_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_SHARED_RATE_LIMITER_H_
