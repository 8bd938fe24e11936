#ifndef FLAMINGOGAUGE_LIBS_SCHEDULING_GROUP_TYPES_H_
#define FLAMINGOGAUGE_LIBS_SCHEDULING_GROUP_TYPES_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "libs/kernel/time.h"
#include "libs/model/fingerprint.h"
#include "libs/model/ids.h"
#include "libs/model/permit.h"
#include "libs/model/refusal.h"

namespace flamingogauge {

// One upstream of a group, as the document describes it.
struct GroupUpstream {
  UpstreamId id;
  // "ip:port".
  std::string address;
  // Upstreams of one hardware generation share their first rate estimate.
  std::string generation;
  // Room for tokens of running requests; 0 until the engine reports it.
  std::uint64_t token_capacity = 0;
  std::uint32_t max_concurrency = 16;
  bool leaving = false;
  // When the upstream is switched off, if that date is set.
  std::optional<MonotonicTime> retires_at;
};

struct TierTargets {
  std::chrono::milliseconds first_token{1000};
  std::chrono::milliseconds deadline{60000};
};

// What a group scheduler knows from the document.
struct GroupConfig {
  std::string target;
  bool is_service = false;
  std::vector<GroupUpstream> upstreams;
  std::array<TierTargets, kMaxTiers> tiers{};
  std::uint32_t default_max_output_tokens = 1024;
  double goodput_weight = 1.0;
  double wasted_prefill_weight = 1.0;
  // Retries as a fraction of the traffic.
  double retry_budget = 0.1;
  // How long a fingerprint that crashed two upstreams is refused.
  std::chrono::seconds quarantine{3600};
  // Shares of the workspaces whose weight is not 1.
  std::shared_ptr<const std::unordered_map<WorkspaceId, double>> weights;
};

// Times that do not come from the document.
struct GroupTiming {
  // How long an entry host may wait before it uses a permit. It also renews
  // the permits in use at least this often.
  std::chrono::milliseconds permit_time_to_live{2000};
  // Added by the scheduler before it frees the slot of a silent permit.
  std::chrono::milliseconds permit_margin{1000};
};

// A permit was granted and must be delivered to the host.
struct GrantAction {
  PermitId permit;
  RequestId request;
  HostId host;
  UpstreamId upstream;
  std::string address;
};

// A waiting request is refused; nothing of it was executed.
struct RefuseAction {
  RequestId request;
  HostId host;
  Tier tier = 0;
  Refusal refusal;
};

// The group has too little capacity for a waiting request. It keeps waiting
// until the owner has asked the sibling groups and calls ConfirmShed or
// Withdraw.
struct ShedProposal {
  RequestId request;
  HostId host;
  Tier tier = 0;
};

// A fingerprint crashed two upstreams and must not be dispatched again.
struct QuarantineAction {
  Fingerprint fingerprint;
};

using GroupAction =
    std::variant<GrantAction, RefuseAction, ShedProposal, QuarantineAction>;

// A permit in use, as an entry host reports it to a new scheduler.
struct AdoptedPermit {
  PermitId permit;
  RequestId request;
  HostId host;
  UpstreamId upstream;
  WorkspaceId workspace;
  Fingerprint fingerprint;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_SCHEDULING_GROUP_TYPES_H_
