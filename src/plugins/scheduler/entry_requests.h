#ifndef FLAMINGOGAUGE_PLUGINS_SCHEDULER_ENTRY_REQUESTS_H_
#define FLAMINGOGAUGE_PLUGINS_SCHEDULER_ENTRY_REQUESTS_H_

#include <map>
#include <string>
#include <unordered_map>

#include "libs/services/permit_broker.h"
#include "plugins/scheduler/scheduler_messages.h"
#include "plugins/scheduler/scheduler_settings.h"

namespace flamingogauge {

// The requests of this host that wait for a permit, and the permits it holds.
// Sends them to the schedulers, again when an answer is missing, and reports
// everything to a new scheduler of a group.
class EntryRequests {
 public:
  // Which host schedules which target.
  using Schedulers = std::map<std::string, HostId>;

  EntryRequests(const SchedulerSettings& settings, MessageSender& sender)
      : settings_(settings), sender_(sender) {}

  void SetListener(PermitBroker::Listener listener) {
    listener_ = std::move(listener);
  }

  // Takes over a changed assignment of schedulers.
  void SetSchedulers(MonotonicTime now, const Schedulers& schedulers);

  void Request(MonotonicTime now, PermitRequest request);
  void Cancel(const RequestId& id);
  void Report(const PermitOutcome& outcome);

  void OnGrant(MonotonicTime now,
               const HostId& from,
               const std::string& target,
               const GrantMessage& grant);
  void OnRefuse(const RefuseMessage& refuse);
  void OnRedirect(MonotonicTime now, const RedirectMessage& redirect);

  // Renews permits, sends again what has no answer, and ends what is late.
  void Advance(MonotonicTime now);

  // True while the request waits or holds a permit.
  bool HasRequest(const RequestId& id) const;

  std::size_t pending_count() const { return pending_.size(); }
  std::size_t permit_count() const { return permits_.size(); }

 private:
  struct Pending {
    PermitRequest request;
    // The scheduler it was sent to.
    HostId scheduler;
    MonotonicTime deadline;
    MonotonicTime send_again_at;
    std::chrono::milliseconds resend_after{0};
    bool redirected = false;
  };
  struct Held {
    std::string target;
    HostId scheduler;
    AdoptedPermit permit;
  };

  void Send(MonotonicTime now, Pending& pending);
  void SendReport(MonotonicTime now,
                  const std::string& target,
                  const HostId& previous,
                  const HostId& scheduler);
  void Refuse(const RequestId& id, RefusalKind kind, const std::string& text);
  void Renew();
  PermitRequest WithTimeLeft(MonotonicTime now, const Pending& pending) const;

  const SchedulerSettings& settings_;
  MessageSender& sender_;
  PermitBroker::Listener listener_;
  Schedulers schedulers_;
  std::unordered_map<RequestId, Pending> pending_;
  std::unordered_map<PermitId, Held> permits_;
  MonotonicTime renewed_at_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_SCHEDULER_ENTRY_REQUESTS_H_
