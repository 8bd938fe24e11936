#ifndef FLAMINGOGAUGE_PLUGINS_SCHEDULER_SCHEDULER_MESSAGES_H_
#define FLAMINGOGAUGE_PLUGINS_SCHEDULER_SCHEDULER_MESSAGES_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libs/limits/limit_types.h"
#include "libs/model/permit.h"
#include "libs/model/refusal.h"
#include "libs/scheduling/group_types.h"

namespace flamingogauge {

// From an entry host to a scheduler.
struct CancelMessage {
  RequestId request;
};
struct RenewMessage {
  std::vector<PermitId> permits;
};
// An entry host's pending requests and permits of a group, sent to the group's
// new scheduler.
struct ReportMessage {
  std::vector<PermitRequest> waiting;
  std::vector<AdoptedPermit> in_use;
};

// From a scheduler to an entry host.
struct GrantMessage {
  PermitId permit;
  RequestId request;
  UpstreamId upstream;
  std::string address;
  // The latest clock value that the scheduler has received from the entry host,
  // or 0.
  std::chrono::nanoseconds echo{0};
};
struct RefuseMessage {
  RequestId request;
  Refusal refusal;
};
// Tells the entry host to send the request to a sibling group that made an
// offer.
struct RedirectMessage {
  RequestId request;
  HostId host;
};

// Between the schedulers of sibling groups.
struct ShedQueryMessage {
  std::uint64_t query = 0;
  Tier tier = 0;
};
struct ShedAnswerMessage {
  std::uint64_t query = 0;
  bool offers = false;
};

enum class LimitKind : std::uint8_t { kRequests, kTokens };

// Between a host and the owner of one limit of a workspace.
struct LimitMessage {
  WorkspaceId workspace;
  LimitKind kind = LimitKind::kRequests;
  std::variant<BorrowRequest, Loan, LendingQuery, LendingConsent> step;
};

struct SchedulerMessage {
  // The group's target; empty if the message does not concern a group.
  std::string target;
  std::variant<PermitRequest,
               CancelMessage,
               PermitOutcome,
               RenewMessage,
               ReportMessage,
               GrantMessage,
               RefuseMessage,
               RedirectMessage,
               ShedQueryMessage,
               ShedAnswerMessage,
               LimitMessage>
      body;
};

struct SchedulerBatch {
  // The sender's monotonic clock when the batch was sent.
  std::chrono::nanoseconds clock{0};
  std::vector<SchedulerMessage> messages;
};

// Sends messages to hosts. Messages to this host bypass the network.
class MessageSender {
 public:
  virtual ~MessageSender() = default;
  virtual void Send(const HostId& host, SchedulerMessage message) = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_SCHEDULER_SCHEDULER_MESSAGES_H_
