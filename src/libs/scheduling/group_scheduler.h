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

// Assigns the waiting requests of one group, a (target, data centre) pair, to
// upstreams. Deterministic and without I/O: events and the current time are
// passed to the member functions, and TakeActions returns the decisions. Not
// thread-safe.
class GroupScheduler {
 public:
  // `scheduler` is part of each permit id and makes it unique; `seed`
  // initializes the generator of the retry jitter.
  GroupScheduler(GroupConfig config,
                 GroupTiming timing,
                 GroupPolicies policies,
                 Incarnation scheduler,
                 std::uint64_t seed);
  GroupScheduler(const GroupScheduler&) = delete;
  GroupScheduler& operator=(const GroupScheduler&) = delete;
  ~GroupScheduler();

  // Applies a new configuration. Permits on removed upstreams stay in use.
  void Configure(MonotonicTime now, GroupConfig config);

  // Queues a request of a host. Ignored if a request with this id is waiting.
  void Submit(MonotonicTime now, PermitRequest request, HostId host);

  // Removes a waiting request. Returns false if the request is not waiting.
  bool Cancel(MonotonicTime now, const RequestId& id);

  // Releases a permit and updates the estimates from its outcome. Unknown
  // permits are ignored.
  void OnOutcome(MonotonicTime now, const PermitOutcome& outcome);

  // Extends a permit by its time to live.
  void Renew(MonotonicTime now, const PermitId& permit);

  // Registers a permit that a previous scheduler of the group granted.
  void Adopt(MonotonicTime now, const AdoptedPermit& permit);

  // Removes the waiting requests of a lost host; its permits expire.
  void CancelHostRequests(MonotonicTime now, const HostId& host);

  void OnLoad(MonotonicTime now, const LoadReport& report);
  void OnCache(MonotonicTime now, const CacheEvent& event);

  // Refuses a request for lack of capacity, after no sibling group offered any.
  // Has no effect if the request no longer waits or if a request of a less
  // urgent tier waits now. `evidence` summarizes the siblings' answers and the
  // time they took; it is part of the refusal and of the dump.
  void ConfirmShed(MonotonicTime now,
                   const RequestId& id,
                   const std::string& evidence);

  // While paused, the scheduler grants no permits and sheds no requests. Used
  // during a takeover from a previous scheduler.
  void SetPaused(MonotonicTime now, bool paused);

  // Grants permits, proposes sheds, and expires requests and permits. Must be
  // called after events and every 20 ms.
  void Advance(MonotonicTime now);

  // Returns the actions since the last call, oldest first.
  std::vector<GroupAction> TakeActions();

  // Returns whether the group can accept a request of `tier` from a sibling
  // group: it has free capacity, or a request of a less urgent tier waits.
  bool CanOffer(MonotonicTime now, Tier tier) const;

  std::size_t WaitingCount() const;
  std::size_t InUseCount() const;

  // Returns the state of the group as a JSON object of bounded size.
  std::string Dump(MonotonicTime now) const;

 private:
  struct Private;
  std::unique_ptr<Private> d_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_SCHEDULING_GROUP_SCHEDULER_H_
