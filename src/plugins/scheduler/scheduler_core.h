#ifndef FLAMINGOGAUGE_PLUGINS_SCHEDULER_SCHEDULER_CORE_H_
#define FLAMINGOGAUGE_PLUGINS_SCHEDULER_SCHEDULER_CORE_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libs/document/document.h"
#include "libs/services/membership_view.h"
#include "libs/services/permit_broker.h"
#include "plugins/scheduler/entry_requests.h"
#include "plugins/scheduler/group_host.h"
#include "plugins/scheduler/scheduler_settings.h"
#include "plugins/scheduler/workspace_limiter.h"

namespace flamingogauge {

// State of the scheduler thread: this host's requests, the groups it schedules,
// and the messages exchanged between them and with other hosts. Not
// thread-safe.
class SchedulerCore : private MessageSender {
 public:
  // Sends an encoded batch to another host. Delivery may fail; renewals and
  // resends make up for lost batches.
  using Transmit = std::function<void(const HostId& to, std::string payload)>;

  SchedulerCore(SchedulerSettings settings,
                Incarnation incarnation,
                Transmit transmit);
  SchedulerCore(const SchedulerCore&) = delete;
  SchedulerCore& operator=(const SchedulerCore&) = delete;

  void SetListener(PermitBroker::Listener listener);
  void SetQuarantineHandler(GroupHost::QuarantineHandler handler) {
    groups_.SetQuarantineHandler(std::move(handler));
  }
  void OnDocument(MonotonicTime now,
                  std::chrono::seconds since_epoch,
                  std::shared_ptr<const Document> document);
  void OnMembers(MonotonicTime now, std::shared_ptr<const MemberList> members);
  void Request(MonotonicTime now, PermitRequest request);
  void Cancel(MonotonicTime now, const RequestId& id);
  void Report(MonotonicTime now, const PermitOutcome& outcome);
  void OnLoad(MonotonicTime now, const LoadReport& report);
  void OnCache(MonotonicTime now, const CacheEvent& event);
  Result<void> OnPayload(MonotonicTime now,
                         const HostId& from,
                         const std::string& payload);

  // Processes timeouts; must be called every tick.
  void Advance(MonotonicTime now);

  // Sends the queued messages, one batch per host.
  void Flush(MonotonicTime now);

  // Returns true if this host has no pending requests and holds no permits.
  bool IsIdle() const;

  // Returns a JSON object of bounded size.
  std::string Dump(MonotonicTime now) const;

 private:
  void Send(const HostId& host, SchedulerMessage message) override;
  void Assign(MonotonicTime now);
  // Ends the accounting of a request that gets no further permit and charges
  // its output tokens to the workspace.
  void Release(const RequestId& id, std::uint32_t output_tokens);
  void HandleLocal(MonotonicTime now);
  void Handle(MonotonicTime now, const HostId& from, SchedulerMessage message);

  PermitBroker::Listener listener_;

  SchedulerSettings settings_;
  Transmit transmit_;
  EntryRequests entry_;
  GroupHost groups_;
  WorkspaceLimiter limiter_;
  // Workspaces of this host's admitted requests that have not ended.
  std::unordered_map<RequestId, WorkspaceId> admitted_;
  std::shared_ptr<const Document> document_;
  // Null without a membership service; this host is then the only member.
  std::shared_ptr<const MemberList> members_;
  std::deque<SchedulerMessage> local_messages_;
  std::map<HostId, std::vector<SchedulerMessage>> outbox_;
  std::map<std::string, HostId> schedulers_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_SCHEDULER_SCHEDULER_CORE_H_
