#ifndef FLAMINGOGAUGE_LIBS_SCHEDULING_QUEUED_REQUEST_H_
#define FLAMINGOGAUGE_LIBS_SCHEDULING_QUEUED_REQUEST_H_

#include <cstdint>

#include "libs/kernel/time.h"
#include "libs/model/permit.h"

namespace flamingogauge {

// A request that waits for a permit.
struct QueuedRequest {
  PermitRequest request;
  HostId host;
  // Sequence number of the arrival in the group.
  std::uint64_t arrival = 0;
  MonotonicTime arrived_at;
  MonotonicTime deadline;
  // Output tokens, estimated at arrival.
  std::uint32_t expected_output = 0;
  // Long requests may not use the capacity reserved for short ones.
  bool is_long = false;
  // Weight of the workspace in the fair queue.
  double weight = 1.0;
  // True while a ShedProposal for the request is pending.
  bool shed_proposed = false;
  // True if the request is in the RequestOrder; false while it is deferred.
  bool in_order = false;

  // Returns the tokens that the request is expected to occupy at its end.
  std::uint64_t Tokens() const {
    return std::uint64_t{request.prompt_tokens} + expected_output;
  }
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_SCHEDULING_QUEUED_REQUEST_H_
