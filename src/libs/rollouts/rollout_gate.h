#ifndef FLAMINGOGAUGE_LIBS_ROLLOUTS_ROLLOUT_GATE_H_
#define FLAMINGOGAUGE_LIBS_ROLLOUTS_ROLLOUT_GATE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libs/dispatching/version_gate.h"
#include "libs/rollouts/trusted_versions.h"

namespace flamingogauge {

struct RolloutGateOptions {
  std::string data_centre;
  // The region of each data centre.
  std::map<std::string, std::string> regions;
  // The share of this process's placements that may be trial requests.
  double trial_share = 0.04;
};

// What the gate enforces for a service with an order.
struct GateRule {
  enum class Mode {
    // Only the old versions get requests.
    kOld,
    // Trial requests go to the target until `permitted_until`.
    kTrial,
    // Only the target gets requests, until `permitted_until`.
    kTarget,
  };

  std::uint64_t order = 0;
  std::string target;
  std::set<std::string> from;
  Mode mode = Mode::kOld;
  // True if the target has been found bad.
  bool is_bad = false;
  MonotonicTime permitted_until = MonotonicTime::max();
};

// Decides by the known orders which versions get requests. Trial requests stay
// below a share of the placements that this process has made since it has known
// the order, so that the sum over all processes stays below it as well. They go
// to few upstreams and in batches, so that these are as busy as others.
class RolloutGate : public VersionGate {
 public:
  explicit RolloutGate(RolloutGateOptions options);

  void SetRegions(std::map<std::string, std::string> regions) {
    options_.regions = std::move(regions);
  }
  void SetUpstreams(const std::vector<UpstreamEntry>& upstreams);
  void SetTrusted(const std::string& service,
                  TrustedVersions::Versions versions);
  // Until then a service with two versions and without a rule gets no requests,
  // as this process may not have heard yet which of them has been left.
  void WaitForRulesUntil(MonotonicTime time) { wait_for_rules_until_ = time; }
  // Sets or, if empty, removes the rule of a service.
  void SetRule(const std::string& service, std::optional<GateRule> rule);

  bool Admits(const UpstreamEntry& upstream, MonotonicTime now) const override;
  bool AcceptsGrant(const UpstreamEntry& upstream,
                    MonotonicTime now) const override;
  std::vector<std::string> TrialUpstreams(const std::string& service,
                                          int priority,
                                          MonotonicTime now) const override;
  void OnPlaced(const UpstreamEntry& upstream,
                int priority,
                MonotonicTime now) override;

  const TrustedVersions& trusted() const { return trusted_; }
  // True if nothing but the target gets requests until after `time`.
  bool AdmitsOnlyTarget(const std::string& service, MonotonicTime time) const;
  // True if upstreams of this version are listed and no others.
  bool HasOnly(const std::string& service, const std::string& version) const;
  bool HasUpstreams(const std::string& service,
                    const std::string& version) const;

 private:
  struct Placements {
    double all = 0;
    double trials = 0;
  };
  struct Service {
    // Upstreams that take requests, by version.
    std::map<std::string, std::size_t> listed;
    std::optional<GateRule> rule;
    // Since the order has been known.
    Placements placements;
    std::map<int, Placements> by_priority;
    // Trial requests that may be placed now.
    double left = 0;
    // True while a batch of them is being placed.
    bool batch_open = false;
    double batch = 4;
    // Of the target, for hosts of this region.
    std::vector<std::string> trial_upstreams;
  };

  void ChooseTrialUpstreams(Service& service);
  std::string RegionOf(const std::string& data_centre) const;
  static bool IsListed(const Service& service,
                       const std::set<std::string>& versions);
  static bool AdmitsByRule(const Service& service,
                           const GateRule& rule,
                           const std::string& version,
                           MonotonicTime now);

  RolloutGateOptions options_;
  TrustedVersions trusted_;
  std::map<std::string, Service> services_;
  std::vector<UpstreamEntry> upstreams_;
  MonotonicTime wait_for_rules_until_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_ROLLOUTS_ROLLOUT_GATE_H_
