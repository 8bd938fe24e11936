#ifndef FLAMINGOGAUGE_LIBS_MODEL_PERMIT_H_
#define FLAMINGOGAUGE_LIBS_MODEL_PERMIT_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "libs/kernel/time.h"
#include "libs/model/fingerprint.h"
#include "libs/model/ids.h"

namespace flamingogauge {

// 0 is the most urgent tier; at most kMaxTiers tiers exist.
using Tier = std::uint8_t;
inline constexpr Tier kMaxTiers = 5;

// What a scheduler needs to know to place one request.
struct PermitRequest {
  RequestId id;
  // The group's name: a model, or a plain service.
  std::string target;
  bool is_service = false;
  WorkspaceId workspace;
  Tier tier = 0;
  Fingerprint fingerprint;
  std::uint32_t prompt_tokens = 0;
  // The caller's max_tokens, or 0 when it gave none.
  std::uint32_t max_output_tokens = 0;
  // Hashes of the prompt's prefixes at block boundaries, shortest first.
  std::vector<std::uint64_t> prefix_hashes;
  // How much longer the answer is of use, from the time of sending.
  std::chrono::milliseconds time_left{0};
  // Upstreams that refused this request without executing it.
  std::vector<UpstreamId> excluded;
};

// The right to send one request to one upstream until the expiry.
struct Permit {
  PermitId id;
  RequestId request;
  // The host that granted it; outcomes are reported to that host.
  HostId scheduler_host;
  UpstreamId upstream;
  // Where to connect, "ip:port".
  std::string address;
  // On the dispatching host's monotonic clock.
  MonotonicTime expires_at;
};

// How the use of a permit ended.
enum class PermitEnd {
  kUnused,       // nothing was sent
  kNotExecuted,  // refused by the upstream, or no byte was written
  kCompleted,
  kCancelled,
  kFailed,   // the connection failed, the outcome may be unknown
  kCrashed,  // the upstream process died during the request
};

// What the dispatching host observed, from which rates are learnt.
struct PermitOutcome {
  PermitId permit;
  RequestId request;
  UpstreamId upstream;
  PermitEnd end = PermitEnd::kUnused;
  std::uint32_t prompt_tokens = 0;
  // Prompt tokens found in the upstream's prefix cache, if it reported them.
  std::uint32_t cached_tokens = 0;
  std::uint32_t output_tokens = 0;
  std::chrono::microseconds time_to_first_token{0};
  std::chrono::microseconds total_time{0};
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_MODEL_PERMIT_H_
