#ifndef FLAMINGOGAUGE_LIBS_SCHEDULING_GROUP_SCHEDULER_P_H_
#define FLAMINGOGAUGE_LIBS_SCHEDULING_GROUP_SCHEDULER_P_H_

#include <array>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "libs/kernel/random.h"
#include "libs/scheduling/drain_estimator.h"
#include "libs/scheduling/group_policies.h"
#include "libs/scheduling/group_scheduler.h"
#include "libs/scheduling/prefix_map.h"
#include "libs/scheduling/retry_budget.h"
#include "libs/scheduling/suspects.h"

namespace flamingogauge {

struct GroupScheduler::Private {
  // A permit that is in use.
  struct InUse {
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
    // Seconds, as expected at the grant.
    double first_token = 0;
    double total = 0;
    double batch = 0;
    // The next multiple of the expected time that counts as a slow sample.
    double overdue_factor = 0;
  };

  struct Running {
    std::size_t slot = 0;
    std::uint32_t count = 0;
  };

  enum class Placement {
    kPlaced,  // granted, or answered in another way
    kNoRoom,  // the head of its lane waits
    kNotNow,  // only this request must wait, others may pass
    kTooLate,
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
  void Free(MonotonicTime now, const PermitId& permit);

  // Waiting requests (group_waiting.cc).
  void Enqueue(QueuedRequest& waiting);
  void SetAside(QueuedRequest& waiting, MonotonicTime until);
  void Erase(const RequestId& id);
  void Refuse(QueuedRequest& waiting, RefusalKind kind, std::string message);
  void ExpireWaiting(MonotonicTime now);
  void ProposeSheds(MonotonicTime now);
  int LowestWaitingTier() const;
  double TimeLeft(MonotonicTime now, const QueuedRequest& waiting) const;

  // Grants (group_dispatch.cc).
  void Dispatch(MonotonicTime now);
  Placement TryPlace(MonotonicTime now, QueuedRequest& waiting, Room room);
  bool MayWaitForCache(MonotonicTime now, const QueuedRequest& waiting) const;
  QueuedRequest* PreferCached(MonotonicTime now, QueuedRequest* head);
  Candidate MakeCandidate(MonotonicTime now,
                          const QueuedRequest& waiting,
                          std::size_t slot,
                          float cached) const;
  bool IsEligible(MonotonicTime now,
                  const QueuedRequest& waiting,
                  const Candidate& candidate) const;
  double IdleService(const QueuedRequest& waiting) const;
  void Grant(MonotonicTime now,
             QueuedRequest& waiting,
             const Candidate& candidate);
  void CheckPermits(MonotonicTime now);
  void Learn(MonotonicTime now,
             const InUse& permit,
             const PermitOutcome& outcome);
  void OnFailure(MonotonicTime now, const InUse& permit, PermitEnd end);

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
  DrainEstimator drain;
  // Seconds a service call takes, by exponential average.
  double service_time = 0;

  std::unordered_map<RequestId, std::unique_ptr<QueuedRequest>> waiting;
  std::array<std::map<std::uint64_t, QueuedRequest*>, kMaxTiers> by_tier;
  std::array<double, kMaxTiers> waiting_tokens{};
  std::multimap<MonotonicTime, RequestId> by_deadline;
  std::multimap<MonotonicTime, RequestId> aside;

  std::unordered_map<PermitId, InUse> in_use;
  std::unordered_map<Fingerprint, Running> running;

  std::uint64_t grants = 0;
  std::uint64_t expired_permits = 0;
  std::array<std::uint64_t, kMaxTiers> shed{};
  std::array<std::uint64_t, kMaxTiers> late{};
  std::string last_shed_evidence;
  std::vector<GroupAction> actions;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_SCHEDULING_GROUP_SCHEDULER_P_H_
