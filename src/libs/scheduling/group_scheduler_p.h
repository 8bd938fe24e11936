#ifndef FLAMINGOGAUGE_LIBS_SCHEDULING_GROUP_SCHEDULER_P_H_
#define FLAMINGOGAUGE_LIBS_SCHEDULING_GROUP_SCHEDULER_P_H_

#include <array>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "libs/kernel/random.h"
#include "libs/scheduling/group_policies.h"
#include "libs/scheduling/group_scheduler.h"
#include "libs/scheduling/prefix_map.h"
#include "libs/scheduling/queue_wait_estimator.h"
#include "libs/scheduling/retry_budget.h"
#include "libs/scheduling/suspects.h"

namespace flamingogauge {

struct GroupScheduler::Private {
  // A granted permit that has been neither released nor expired.
  struct PermitInUse {
    RequestId request;
    HostId host;
    std::size_t slot = 0;
    WorkspaceId workspace;
    Fingerprint fingerprint;
    std::uint32_t prompt_tokens = 0;
    std::uint64_t tokens = 0;
    bool is_long = false;
    MonotonicTime granted_at;
    MonotonicTime expires_at;
    // Expected times in seconds and expected batch size, estimated at the
    // grant.
    double first_token = 0;
    double total = 0;
    double batch = 0;
    // The next multiple of the expected time at which the running request is
    // recorded as a slow sample.
    double overdue_factor = 0;
  };

  // Upstream and number of the requests in flight with one fingerprint.
  struct InFlightFingerprint {
    std::size_t slot = 0;
    std::uint32_t count = 0;
  };

  enum class PlacementResult {
    kResolved,    // granted or refused
    kNoCapacity,  // no capacity; later requests of the same queue wait as well
    kRetryLater,  // only this request waits; others may overtake it
    kTooLate,     // no upstream with free capacity can meet the deadline
  };

  Private(GroupConfig group_config,
          GroupTiming group_timing,
          GroupPolicies group_policies,
          Incarnation incarnation,
          std::uint64_t seed)
      : config(std::move(group_config)),
        timing(group_timing),
        policies(std::move(group_policies)),
        scheduler(incarnation),
        random(seed) {}

  // Upstreams (group_scheduler.cc).
  void ApplyUpstreams();
  std::size_t SlotOf(const UpstreamId& id) const;
  const RateEstimator& RatesOf(std::size_t slot) const;
  void ReleasePermit(MonotonicTime now, const PermitId& permit);

  // Waiting requests (group_waiting.cc).
  void Enqueue(QueuedRequest& queued);
  void Defer(QueuedRequest& queued, MonotonicTime until);
  void Erase(const RequestId& id);
  void Refuse(QueuedRequest& queued, RefusalKind kind, std::string message);
  void ExpireWaiting(MonotonicTime now);
  void ProposeSheds(MonotonicTime now);
  // Returns the least urgent tier with waiting requests, or -1.
  int LowestWaitingTier() const;
  double TimeLeft(MonotonicTime now, const QueuedRequest& queued) const;

  // Grants (group_dispatch.cc).
  void Dispatch(MonotonicTime now);
  PlacementResult TryPlace(MonotonicTime now,
                           QueuedRequest& queued,
                           AdmissionScope scope);
  bool MayWaitForCache(MonotonicTime now, const QueuedRequest& queued) const;
  // Returns the request that takes the turn of a long `head`: one of the same
  // workspace with more of its prompt cached, or `head` itself.
  QueuedRequest* PreferCached(MonotonicTime now, QueuedRequest* head);
  Candidate MakeCandidate(MonotonicTime now,
                          const QueuedRequest& queued,
                          std::size_t slot,
                          float cached) const;
  bool IsEligible(MonotonicTime now,
                  const QueuedRequest& queued,
                  const Candidate& candidate) const;
  // Returns the expected seconds on the fastest idle upstream, without prefill;
  // -1 if no upstream is available.
  double IdleServiceTime(const QueuedRequest& queued) const;
  void Grant(MonotonicTime now,
             QueuedRequest& queued,
             const Candidate& candidate);
  void CheckPermits(MonotonicTime now);
  void Learn(MonotonicTime now,
             const PermitInUse& permit,
             const PermitOutcome& outcome);
  void OnFailure(MonotonicTime now, const PermitInUse& permit, PermitEnd end);

  GroupConfig config;
  GroupTiming timing;
  GroupPolicies policies;
  Incarnation scheduler;
  Random random;
  std::uint64_t next_permit = 1;
  std::uint64_t next_arrival = 1;
  bool paused = false;
  MonotonicTime permits_checked_at;

  std::vector<UpstreamState> upstreams;
  std::unordered_map<UpstreamId, std::size_t> slots;
  std::unordered_map<std::string, RateEstimator> generations;
  StragglerDetector stragglers;
  PrefixMap prefixes;
  RetryBudget retries;
  Suspects suspects;
  QueueWaitEstimator queue_wait;
  // Exponential average of the duration of a service call, in seconds.
  double service_time = 0;

  std::unordered_map<RequestId, std::unique_ptr<QueuedRequest>> waiting;
  std::array<std::map<std::uint64_t, QueuedRequest*>, kMaxTiers> by_tier;
  std::array<double, kMaxTiers> waiting_tokens{};
  std::multimap<MonotonicTime, RequestId> by_deadline;
  std::multimap<MonotonicTime, RequestId> deferred;

  std::unordered_map<PermitId, PermitInUse> in_use;
  std::unordered_map<Fingerprint, InFlightFingerprint> running;

  std::uint64_t grants = 0;
  std::uint64_t expired_permits = 0;
  std::array<std::uint64_t, kMaxTiers> shed{};
  std::array<std::uint64_t, kMaxTiers> late{};
  std::string last_shed_evidence;
  std::vector<GroupAction> actions;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_SCHEDULING_GROUP_SCHEDULER_P_H_
