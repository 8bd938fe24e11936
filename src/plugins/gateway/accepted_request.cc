#include "plugins/gateway/accepted_request.h"

#include <algorithm>
#include <chrono>

#include "libs/dispatching/workspace_weights.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMinStreamStallLimit{2000};

}  // namespace

MonotonicTime LatestStart(const Route& route,
                          MonotonicTime last_event_at,
                          MonotonicTime deadline) {
  if (route.execution_semantics != ExecutionSemantics::kStream) {
    return deadline;
  }
  const milliseconds stall_limit =
      std::max({kMinStreamStallLimit, route.target_latency * 4,
                route.max_event_gap * 8});
  return std::min(deadline, last_event_at + stall_limit);
}

WaitingRequest MakeWaitingRequest(const AcceptedRequest& accepted) {
  const Route& route = *accepted.route;
  return {
      .id = accepted.id,
      .service = accepted.service,
      .priority = PriorityOf(route, accepted.workspace),
      .arrived_at = accepted.arrived_at,
      .due_at = accepted.due_at,
      .start_by = LatestStart(route, accepted.arrived_at, accepted.deadline),
      .deadline = accepted.deadline,
      .prompt_tokens = accepted.prompt_tokens,
      .expected_output_tokens = accepted.expected_output_tokens,
      .prompt_parts = accepted.prompt_parts,
      .workspace = accepted.workspace != nullptr
                       ? WorkspaceHash(accepted.workspace->name)
                       : 0,
      .returned = accepted.returned};
}

}  // namespace flamingogauge
