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
  // Rises with each arrival in the group.
  std::uint64_t arrival = 0;
  MonotonicTime arrived_at;
  MonotonicTime deadline;
  // Estimate at arrival, in tokens.
  std::uint32_t expected_output = 0;
  // Long requests (reports) may not use the room reserved for short ones.
  bool is_long = false;
  // Relative share of the workspace.
  double weight = 1.0;
  // True while a ShedProposal is with the owner.
  bool shed_proposed = false;
  // False while it is set aside until a later time.
  bool in_order = false;

  // The tokens it is expected to occupy at its end.
  std::uint64_t Tokens() const {
    return std::uint64_t{request.prompt_tokens} + expected_output;
  }
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_SCHEDULING_QUEUED_REQUEST_H_
