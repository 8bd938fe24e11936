#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_DISPATCHER_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_DISPATCHER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "libs/dispatching/first_event_model.h"
#include "libs/dispatching/placement_cost.h"
#include "libs/dispatching/placement_explanation.h"
#include "libs/dispatching/rate_limit_shares.h"
#include "libs/dispatching/service_queue.h"
#include "libs/dispatching/upstream_view.h"
#include "libs/dispatching/version_gate.h"
#include "libs/dispatching/waiting_request.h"
#include "libs/fleet/upstream_entry.h"
#include "libs/kernel/random.h"

namespace flamingogauge {

struct DispatcherOptions {
  std::string data_centre;
  // The region of each data centre.
  std::map<std::string, std::string> regions;
  // Average number of output tokens per stream event.
  double tokens_per_event = 6;
  std::uint64_t seed = 1;
  UpstreamPaceOptions pace;
  // Null if upstreams of all versions get requests. Must outlive the
  // dispatcher.
  VersionGate* version_gate = nullptr;
};

// A decision to send a request to an upstream.
struct Placement {
  std::uint64_t request = 0;
  UpstreamEntry upstream;
};

// Why an upstream cannot get a request now.
enum class PlacementObstacle {
  kNone,
  kDraining,
  kLeaving,
  kReplaced,
  // It has asked this host for a pause.
  kHeldBack,
  kVersionNotAdmitted,
  // The request was sent there before.
  kTried,
  // It is avoided while another upstream can be used.
  kSuspect,
  kTriedAndSuspect,
  kFull,
  // It limits the rate of requests, and this host has used its part.
  kRateLimited,
};

// Queues the requests of one host, assigns them to upstreams and refuses those
// that would wait too long. Each host decides on its own, based on its own load
// and the load reported by other hosts; it never waits for another host.
class Dispatcher {
 public:
  explicit Dispatcher(DispatcherOptions options);

  // Replaces the region of each data centre.
  void SetRegions(std::map<std::string, std::string> regions) {
    rate_shares_.SetRegions(regions);
    placement_.SetRegions(std::move(regions));
  }

  // Sets who else decides on requests to the same upstreams.
  void SetRateLimitSharers(RateLimitSharers sharers, MonotonicTime now);

  void SetWorkspaceWeights(WorkspaceWeights weights) {
    *workspace_weights_ = std::move(weights);
  }

  // How long the newest report of a host stays valid.
  void SetReportLifetime(std::chrono::milliseconds lifetime) {
    report_lifetime_ = lifetime;
  }

  // Replaces the list of upstreams. Removed upstreams get no new requests;
  // requests in progress there continue.
  void SetUpstreams(const std::vector<UpstreamEntry>& upstreams,
                    MonotonicTime now);

  // Updates the number of requests that another host runs, by PeerUpstreamKey.
  // Replaces its earlier report.
  void OnPeerLoad(const std::string& host,
                  const std::map<std::uint64_t, int>& running,
                  MonotonicTime now);

  // A coordinator of another data centre has reported that it places requests,
  // too.
  void OnOtherCoordinator(MonotonicTime now) { other_coordinator_at_ = now; }

  void Enqueue(WaitingRequest request);
  // Removes a request whose caller disconnected or that is no longer needed.
  void Remove(std::uint64_t request);

  // Assigns waiting requests to free upstreams; each placement counts as sent.
  std::vector<Placement> Place(MonotonicTime now);
  // Removes and returns the requests that would wait too long. Call after each
  // Place(), so that a request is refused on arrival and not after a wait.
  std::vector<Rejection> Reject(MonotonicTime now);

  // Returns what has been refused since the last call, for the log.
  std::vector<RefusalSummary> TakeRefusals(MonotonicTime now);

  // Counts a request as sent to an upstream that another host chose.
  void RecordPlacement(const std::string& upstream,
                       const WaitingRequest& request,
                       MonotonicTime now);
  // Ends a request without a result, such as one that another host reports as
  // running there by now.
  void ReleasePlacement(const std::string& upstream);
  HealthChange OnEnded(const std::string& upstream,
                       DispatchResult result,
                       MonotonicTime now);
  // Updates an upstream's health by the result of another host's request.
  HealthChange RecordResult(std::uint64_t upstream_key,
                            DispatchResult result,
                            MonotonicTime now);
  // An answer of this or another host began `took` after its request was sent.
  void OnFirstEvent(std::uint64_t upstream_key,
                    Duration took,
                    double prompt_tokens,
                    MonotonicTime now);
  // Another coordinator learned an upstream's pace from an answer at
  // `learned_at`.
  void OnPaceReport(std::uint64_t upstream_key,
                    double requests,
                    MonotonicTime learned_at,
                    MonotonicTime now);
  // Sends the upstream no request until then, as it has asked for.
  void HoldBackUntil(const std::string& upstream, MonotonicTime time);
  // Applies what an upstream's response to this host said of its rate of
  // requests. Returns true if that is news.
  bool OnRateLimit(const std::string& upstream,
                   const RateLimitStatement& statement);
  // Applies what another host has read of an upstream's rate of requests.
  void OnRateLimitReport(std::uint64_t upstream_key,
                         const ReportedRateLimit& report,
                         MonotonicTime now);
  // What is known of limits, to tell others, by PeerUpstreamKey.
  std::map<std::uint64_t, ReportedRateLimit> RateLimits(MonotonicTime now);
  void OnEventInterval(const std::string& upstream,
                       std::chrono::duration<double> event_interval);

  // Says why an upstream of the request's service cannot get it now.
  PlacementObstacle FindObstacle(const UpstreamView& upstream,
                                 const WaitingRequest& request,
                                 MonotonicTime now) const;

  // Returns the changes of paces since the last call, at most one for each
  // upstream.
  std::vector<PaceChange> TakePaceChanges();

  // Returns the upstream with this PeerUpstreamKey, or null.
  const UpstreamView* FindByPeerKey(std::uint64_t key) const;
  bool HasAnyUpstream() const;
  // What would become of the request if it arrived now. Uses the parts that
  // Place() and Reject() decide by, without their random shares, and changes
  // nothing.
  PlacementExplanation Explain(const WaitingRequest& request,
                               MonotonicTime now) const;
  // The oldest of the reports of the load that others cause; none without one.
  std::optional<MonotonicTime> OldestReport() const;
  std::size_t waiting_count() const;
  const std::map<std::string, ServiceQueue>& queues() const { return queues_; }
  // Number of requests of this host in progress, by PeerUpstreamKey, for the
  // report to other hosts.
  std::map<std::uint64_t, int> OwnLoad() const;
  const std::map<std::string, UpstreamView>& upstreams() const {
    return upstreams_;
  }

 private:
  struct PeerReport {
    MonotonicTime received_at;
    std::map<std::uint64_t, int> running;
  };

  void IndexUpstreams();
  void UpdateRateShare(UpstreamView& upstream, MonotonicTime now);
  void AddUpstream(const UpstreamEntry& entry, MonotonicTime now);
  // Counts a request as sent.
  void CountSent(UpstreamView& upstream,
                 const WaitingRequest& request,
                 MonotonicTime now);
  // How much longer than the average upstream of its service it takes.
  double SlownessOf(const UpstreamView& upstream) const;
  // Adds a host's reported load, multiplied by `sign`, to the upstreams.
  void AddPeerLoad(const std::map<std::uint64_t, int>& running, int sign);
  void ExpirePeerReports(MonotonicTime now);
  ServiceQueue& QueueOf(const std::string& service);
  // Places one request; it counts as sent.
  ServiceQueue::PlaceResult PlaceRequest(const WaitingRequest& request,
                                         std::vector<Placement>& placements,
                                         MonotonicTime now);
  bool GateAdmits(const UpstreamEntry& upstream, MonotonicTime now) const;
  UpstreamView* Choose(const WaitingRequest& request, MonotonicTime now);
  // The upstreams between which the cost decides.
  std::vector<UpstreamView*> Eligible(const WaitingRequest& request,
                                      MonotonicTime now) const;
  // Returns an upstream of a version that is tried, if the request should do
  // so; a request that was sent before does not.
  std::optional<std::string> TrialUpstream(const WaitingRequest& request,
                                           MonotonicTime now) const;
  // The state of an upstream between which and others the cost decides; it may
  // be suspect if all are.
  CandidateState StateOfEligible(const UpstreamView& upstream,
                                 MonotonicTime now) const;
  std::vector<CandidateExplanation> ExplainCandidates(
      const WaitingRequest& request,
      MonotonicTime now) const;

  DispatcherOptions options_;
  Random random_;
  PlacementCost placement_;
  RateLimitShares rate_shares_;
  std::map<std::string, UpstreamView> upstreams_;
  // Point into `upstreams_`.
  std::unordered_map<std::string, std::vector<UpstreamView*>> by_service_;
  std::unordered_map<std::uint64_t, UpstreamView*> by_peer_key_;
  std::map<std::string, PeerReport> peers_;
  std::chrono::milliseconds report_lifetime_{1500};
  // The sum of `peers_`, by PeerUpstreamKey.
  std::unordered_map<std::uint64_t, int> peer_running_;
  // Read by `queues_`.
  std::shared_ptr<WorkspaceWeights> workspace_weights_ =
      std::make_shared<WorkspaceWeights>();
  // The upstreams, by PeerUpstreamKey, of whose limits there may be something
  // to tell.
  std::set<std::uint64_t> rate_limited_;
  // By service.
  std::map<std::string, ServiceQueue> queues_;
  // By service.
  std::map<std::string, FirstEventModel> first_events_;
  std::optional<MonotonicTime> other_coordinator_at_;
  // When the first upstreams were listed.
  std::optional<MonotonicTime> first_listed_at_;
};

// The compact key that identifies an upstream in reports between hosts.
std::uint64_t PeerUpstreamKey(const std::string& upstream);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_DISPATCHER_H_
