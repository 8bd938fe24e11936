#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_ACCEPTED_REQUEST_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_ACCEPTED_REQUEST_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "libs/dispatching/crash_evidence.h"
#include "libs/dispatching/waiting_request.h"
#include "libs/http_framing/http_request_reader.h"
#include "libs/kernel/time.h"
#include "libs/routing/routing_table.h"

namespace flamingogauge {

// An accepted request with the decisions made on its arrival.
struct AcceptedRequest {
  std::uint64_t id = 0;
  ParsedRequest request;
  MonotonicTime arrived_at;
  // Owns the objects that `route` and `workspace` point to.
  std::shared_ptr<const RoutingTable> routing;
  const Route* route = nullptr;
  // Null on anonymous routes.
  const WorkspaceEntry* workspace = nullptr;
  std::string service;
  std::string request_id;
  // The earlier end of the caller's time limit and the route's timeout.
  MonotonicTime deadline;
  double prompt_tokens = 0;
  double output_tokens = 0;
  // The caller's estimate; 0 if it gave none.
  double expected_output_tokens = 0;
  // The response, or the first event of a stream, is late after this time.
  MonotonicTime due_at;
  // True if its caller was refused before and returns as it was told.
  bool returned = false;
  std::vector<PromptPart> prompt_parts;
  // The units that it costs of the workspace's limit.
  double spent = 0;
  // The priority with which they are charged.
  int limit_priority = 0;
  // Equal for repeated sends of the same request by its caller.
  RequestKeys keys;
};

// Returns the queue entry of a request that has not been sent yet.
WaitingRequest MakeWaitingRequest(const AcceptedRequest& accepted);

// Returns the latest time at which sending the request is still useful. Callers
// abandon a stream when no event has arrived for the longest of these times,
// counted from the last event, or from the request's arrival before the first.
MonotonicTime LatestStart(const Route& route,
                          MonotonicTime last_event_at,
                          MonotonicTime deadline);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_ACCEPTED_REQUEST_H_
