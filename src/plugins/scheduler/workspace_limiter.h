#ifndef FLAMINGOGAUGE_PLUGINS_SCHEDULER_WORKSPACE_LIMITER_H_
#define FLAMINGOGAUGE_PLUGINS_SCHEDULER_WORKSPACE_LIMITER_H_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "libs/document/document.h"
#include "libs/limits/limit_owner.h"
#include "libs/limits/rate_bucket.h"
#include "libs/limits/slot_share.h"
#include "plugins/scheduler/scheduler_messages.h"

namespace flamingogauge {

// Enforces this host's share of the workspace limits. Hosts of a data centre
// lend each other rates but not concurrency, because a request can outlast any
// loan. State is kept only for workspaces in use.
class WorkspaceLimiter {
 public:
  // `slot_index` is this host's index among all host slots. The remainder of a
  // concurrency limit goes to the lowest indices; a host without an index gets
  // none of it.
  WorkspaceLimiter(Incarnation incarnation,
                   HostId host,
                   std::optional<std::uint32_t> slot_index,
                   MessageSender& sender)
      : incarnation_(incarnation),
        host_(std::move(host)),
        slot_index_(slot_index),
        sender_(sender) {}

  void SetDocument(std::shared_ptr<const Document> document);
  // The live hosts of the data centre, this one included.
  void SetMembers(std::vector<HostId> members);

  // Charges the request to its workspace, or returns the limit it exceeds.
  std::optional<std::string> Admit(MonotonicTime now,
                                   const PermitRequest& request);
  // Records the end of a request and charges its output tokens.
  void OnEnded(const WorkspaceId& workspace, std::uint32_t output_tokens);

  void OnMessage(MonotonicTime now, const HostId& from, LimitMessage message);
  void Advance(MonotonicTime now);

  std::size_t active_count() const { return active_.size(); }

 private:
  static constexpr std::size_t kKinds = 2;

  struct Rate {
    std::optional<SlotShare> share;
    RateBucket bucket;
    // Amount requested since the last poll, and the smoothed demand per second.
    double wanted = 0;
    double need = 0;
  };
  struct Active {
    std::array<Rate, kKinds> rates;
    std::uint32_t running = 0;
    MonotonicTime used_at;
  };

  const WorkspaceSpec* Find(const WorkspaceId& workspace) const;
  double Slot(const WorkspaceSpec& spec, LimitKind kind) const;
  std::uint32_t ConcurrencyShare(const WorkspaceSpec& spec) const;
  Active& Use(MonotonicTime now, const WorkspaceSpec& spec);
  void Poll(MonotonicTime now, const WorkspaceId& workspace, Active& active);
  void QueryLenders(MonotonicTime now, const LimitMessage& about);
  void Send(const HostId& to, LimitMessage message);

  Incarnation incarnation_;
  HostId host_;
  std::optional<std::uint32_t> slot_index_;
  MessageSender& sender_;
  std::shared_ptr<const Document> document_;
  std::unordered_map<WorkspaceId, std::size_t> index_;
  std::uint32_t slots_ = 1;
  std::vector<HostId> members_;
  std::unordered_map<WorkspaceId, Active> active_;
  // Limits that this host owns, by kind and workspace.
  struct Owned {
    LimitOwner owner;
    MonotonicTime asked_at;
  };
  std::array<std::unordered_map<WorkspaceId, Owned>, kKinds> owned_;
  MonotonicTime started_at_;
  bool is_started_ = false;
  MonotonicTime polled_at_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_SCHEDULER_WORKSPACE_LIMITER_H_
