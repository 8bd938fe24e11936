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

// Configuration of one upstream of a group.
struct GroupUpstream {
  UpstreamId id;
  // "ip:port".
  std::string address;
  // Hardware generation. Its rate estimates are used for upstreams that have
  // too few samples of their own.
  std::string generation;
  // Tokens of running requests that fit into memory; 0 to use the capacity that
  // the engine reports.
  std::uint64_t token_capacity = 0;
  std::uint32_t max_concurrency = 16;
  bool leaving = false;
  // Time at which the upstream is switched off, if scheduled.
  std::optional<MonotonicTime> retires_at;
};

struct TierTargets {
  std::chrono::milliseconds first_token{1000};
  std::chrono::milliseconds deadline{60000};
};

// The part of the configuration document that concerns one group.
struct GroupConfig {
  std::string target;
  bool is_service = false;
  std::vector<GroupUpstream> upstreams;
  std::array<TierTargets, kMaxTiers> tiers{};
  std::uint32_t default_max_output_tokens = 1024;
  double goodput_weight = 1.0;
  double wasted_prefill_weight = 1.0;
  // Maximum retries as a fraction of the first attempts.
  double retry_budget = 0.1;
  // Time for which a fingerprint is refused after it was in flight at two
  // upstream crashes.
  std::chrono::seconds quarantine{3600};
  // Weights of the workspaces whose weight is not 1.
  std::shared_ptr<const std::unordered_map<WorkspaceId, double>> weights;
};

// Times that are set by flags of the process rather than by the document.
struct GroupTiming {
  // Time within which an entry host has to use a granted permit. It is also the
  // maximum interval at which the host renews the permits in use.
  std::chrono::milliseconds permit_time_to_live{2000};
  // Added to the time to live before a permit that is not renewed expires.
  std::chrono::milliseconds permit_margin{1000};
};

// A granted permit, to be sent to the host.
struct GrantAction {
  PermitId permit;
  RequestId request;
  HostId host;
  UpstreamId upstream;
  std::string address;
};

// The refusal of a waiting request, no part of which was executed.
struct RefuseAction {
  RequestId request;
  HostId host;
  Tier tier = 0;
  Refusal refusal;
};

// The group has too little capacity for a waiting request. The request keeps
// waiting until the caller has asked the sibling groups and calls ConfirmShed
// or Cancel.
struct ShedProposal {
  RequestId request;
  HostId host;
  Tier tier = 0;
};

// A fingerprint that was in flight at two upstream crashes and must not be
// dispatched again.
struct QuarantineAction {
  Fingerprint fingerprint;
};

using GroupAction =
    std::variant<GrantAction, RefuseAction, ShedProposal, QuarantineAction>;

// A permit in use that an entry host reports to a new scheduler.
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
