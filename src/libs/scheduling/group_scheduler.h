#ifndef FLAMINGOGAUGE_LIBS_SCHEDULING_GROUP_SCHEDULER_H_
#define FLAMINGOGAUGE_LIBS_SCHEDULING_GROUP_SCHEDULER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "libs/model/upstream_health.h"
#include "libs/scheduling/group_policies.h"
#include "libs/scheduling/group_types.h"

namespace flamingogauge {

// Decides for one (target, data centre) which waiting request may go to which
// upstream. Deterministic and without I/O: events and the time come in through
// the functions, decisions leave through TakeActions. Not safe for threads.
class GroupScheduler {
 public:
  // `scheduler` makes the permit ids unique; `seed` feeds the retry jitter.
  GroupScheduler(GroupConfig config,
                 GroupTiming timing,
                 GroupPolicies policies,
                 Incarnation scheduler,
                 std::uint64_t seed);
  GroupScheduler(const GroupScheduler&) = delete;
  GroupScheduler& operator=(const GroupScheduler&) = delete;
  ~GroupScheduler();

  // Applies a document revision. Permits on removed upstreams stay in use.
  void Configure(MonotonicTime now, GroupConfig config);

  // Queues a request of a host. A repeated id is ignored.
  void Submit(MonotonicTime now, PermitRequest request, HostId host);

  // Removes a waiting request. Returns false when it is not waiting.
  bool Cancel(MonotonicTime now, const RequestId& id);

  // Ends the use of a permit and learns from it. Unknown permits are ignored.
  void OnOutcome(MonotonicTime now, const PermitOutcome& outcome);

  // Keeps a permit in use for another time to live.
  void Renew(MonotonicTime now, const PermitId& permit);

  // Takes over a permit that an earlier scheduler of the group granted.
  void Adopt(MonotonicTime now, const AdoptedPermit& permit);

  // Forgets waiting requests of a host that is gone; its permits expire.
  void CancelHostRequests(MonotonicTime now, const HostId& host);

  void OnLoad(MonotonicTime now, const LoadReport& report);
  void OnCache(MonotonicTime now, const CacheEvent& event);

  // Refuses a request for lack of capacity, after the siblings were asked. Has
  // no effect when it is not waiting any more or a lower tier waits now.
  // `evidence` names each sibling, its answer and the time.
  void ConfirmShed(MonotonicTime now,
                   const RequestId& id,
                   const std::string& evidence);

  // While paused no permit is granted and nothing is shed (takeover).
  void SetPaused(MonotonicTime now, bool paused);

  // Grants, sheds and expires what is due. Call after events and every 20 ms.
  void Advance(MonotonicTime now);

  // Returns the decisions since the last call, oldest first.
  std::vector<GroupAction> TakeActions();

  // True when a sibling's request of `tier` would be better off here: free
  // capacity, or a waiting request of a lower tier.
  bool CanOffer(MonotonicTime now, Tier tier) const;

  std::size_t WaitingCount() const;
  std::size_t InUseCount() const;

  // JSON object of bounded size.
  std::string Dump(MonotonicTime now) const;

 private:
  struct Private;
  std::unique_ptr<Private> d_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_SCHEDULING_GROUP_SCHEDULER_H_
