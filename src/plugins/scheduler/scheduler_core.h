#ifndef FLAMINGOGAUGE_PLUGINS_SCHEDULER_SCHEDULER_CORE_H_
#define FLAMINGOGAUGE_PLUGINS_SCHEDULER_SCHEDULER_CORE_H_

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "libs/document/document.h"
#include "libs/scheduling/group_scheduler.h"
#include "libs/services/permit_broker.h"
#include "plugins/scheduler/scheduler_settings.h"

namespace flamingogauge {

// The scheduler thread's state: the requests and permits of this host, and the
// groups that this host schedules. Time and events come in through the
// functions; used from one thread.
class SchedulerCore {
 public:
  SchedulerCore(SchedulerSettings settings, Incarnation incarnation);

  void SetListener(PermitBroker::Listener listener);
  void OnDocument(MonotonicTime now,
                  std::chrono::seconds since_epoch,
                  const Document& document);
  void Request(MonotonicTime now, PermitRequest request);
  void Cancel(MonotonicTime now, const RequestId& id);
  void Report(MonotonicTime now, const PermitOutcome& outcome);
  void OnLoad(MonotonicTime now, const LoadReport& report);
  void OnCache(MonotonicTime now, const CacheEvent& event);

  // Renews permits and lets time pass in all groups.
  void Advance(MonotonicTime now);

  // True when no request waits and no permit is in use.
  bool IsIdle() const { return pending_.empty() && permits_.empty(); }

  // JSON object of bounded size.
  std::string Dump(MonotonicTime now) const;

 private:
  struct Pending {
    std::string target;
    MonotonicTime sent_at;
  };
  struct HeldPermit {
    std::string target;
  };

  void Deliver(MonotonicTime now, const std::string& target);
  void DeliverGrant(const std::string& target, const GrantAction& grant);
  void DeliverRefusal(const RefuseAction& refused);
  void RefuseHere(const RequestId& id,
                  RefusalKind kind,
                  const std::string& text);

  SchedulerSettings settings_;
  Incarnation incarnation_;
  PermitBroker::Listener listener_;
  std::uint64_t revision_ = 0;
  std::map<std::string, std::unique_ptr<GroupScheduler>> groups_;
  std::unordered_map<RequestId, Pending> pending_;
  std::unordered_map<PermitId, HeldPermit> permits_;
  MonotonicTime renewed_at_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_SCHEDULER_SCHEDULER_CORE_H_
