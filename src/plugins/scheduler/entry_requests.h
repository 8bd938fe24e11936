#ifndef FLAMINGOGAUGE_PLUGINS_SCHEDULER_ENTRY_REQUESTS_H_
#define FLAMINGOGAUGE_PLUGINS_SCHEDULER_ENTRY_REQUESTS_H_

#include <map>
#include <string>
#include <unordered_map>

#include "libs/services/permit_broker.h"
#include "plugins/scheduler/scheduler_messages.h"
#include "plugins/scheduler/scheduler_settings.h"

namespace flamingogauge {

// Tracks this host's pending permit requests and the permits it holds. Sends
// requests to the schedulers, resends unanswered ones, and reports requests and
// permits to the new scheduler when a group's scheduler changes.
class EntryRequests {
 public:
  // Maps each target to the host that schedules it.
  using Schedulers = std::map<std::string, HostId>;

  EntryRequests(const SchedulerSettings& settings, MessageSender& sender)
      : settings_(settings), sender_(sender) {}

  void SetListener(PermitBroker::Listener listener) {
    listener_ = std::move(listener);
  }

  // Applies a new assignment and reports to every scheduler that changed.
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

  // Renews permits, resends unanswered requests and refuses requests whose
  // deadline has passed.
  void Advance(MonotonicTime now);

  // Returns true while the request is pending or holds a permit.
  bool HasRequest(const RequestId& id) const;

  std::size_t pending_count() const { return pending_.size(); }
  std::size_t permit_count() const { return permits_.size(); }

 private:
  struct Pending {
    PermitRequest request;
    // The scheduler that the request was last sent to.
    HostId scheduler;
    MonotonicTime deadline;
    MonotonicTime resend_at;
    std::chrono::milliseconds resend_delay{0};
    bool redirected = false;
  };
  struct HeldPermit {
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
  std::unordered_map<PermitId, HeldPermit> permits_;
  MonotonicTime renewed_at_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_SCHEDULER_ENTRY_REQUESTS_H_
