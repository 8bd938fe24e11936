#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_ALLOTMENTS_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_ALLOTMENTS_H_

#include <chrono>
#include <map>
#include <string>

#include "libs/kernel/time.h"
#include "libs/routing/routing_table.h"

namespace flamingogauge {

// Keeps the sum of what all hosts admit for a workspace within its limit. Each
// host has a share that follows the demand that hosts report to each other; the
// shares of hosts that are not heard are left untouched, so the sum holds when
// hosts are cut off.
class Allotments {
 public:
  // Takes the limits of a new routing table.
  void SetLimits(const RoutingTable& table, MonotonicTime now);

  // The number of hosts that are registered, with this one; at least 1.
  void SetHostCount(std::size_t hosts) { host_count_ = hosts; }

  // Demand of another host in units a second, by workspace name hash.
  void OnPeerDemand(const std::string& host,
                    std::map<std::string, double> demand,
                    MonotonicTime now);

  // Returns true and spends `amount` when the workspace is within its limit;
  // counts the demand in both cases.
  bool TrySpend(const WorkspaceEntry& workspace,
                double amount,
                MonotonicTime now);
  // Gives back what was spent for a request that did not run.
  void Refund(const WorkspaceEntry& workspace, double amount);

  // How long the workspace has to wait until `amount` can be spent.
  std::chrono::milliseconds TimeUntil(const WorkspaceEntry& workspace,
                                      double amount) const;

  // Units a second that were asked of this host lately, by workspace.
  std::map<std::string, double> OwnDemand(MonotonicTime now);

 private:
  struct Bucket {
    double rate = 0;
    double burst = 0;
    double credits = 0;
    double share = 0;
    double demand = 0;
    MonotonicTime updated_at;
  };
  struct PeerDemand {
    MonotonicTime received_at;
    std::map<std::string, double> demand;
  };

  void Update(const std::string& name, Bucket& bucket, MonotonicTime now);
  double Share(const std::string& name,
               double own_demand,
               MonotonicTime now) const;

  std::size_t host_count_ = 1;
  std::map<std::string, Bucket> buckets_;
  std::map<std::string, PeerDemand> peers_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_ALLOTMENTS_H_
