#ifndef FLAMINGOGAUGE_LIBS_REQUESTS_REQUEST_EVENTS_H_
#define FLAMINGOGAUGE_LIBS_REQUESTS_REQUEST_EVENTS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libs/model/permit.h"
#include "libs/model/refusal.h"
#include "libs/services/claim_service.h"
#include "libs/services/upstream_client.h"

namespace flamingogauge {

// How the response is delivered to the caller.
enum class ResponseMode {
  kStream,    // engine events, forwarded one by one
  kBuffered,  // engine events, assembled into one response
  kService,   // a service response, forwarded when complete
};

// A request after validation.
struct RequestSpec {
  RequestId id;
  WorkspaceId workspace;
  Tier tier = 0;
  // Name of the model or service.
  std::string target;
  ResponseMode response_mode = ResponseMode::kStream;
  // Chosen by the caller; optional for idempotent requests.
  std::string idempotency_key;
  // True for a non-idempotent request, which is executed under a claim only.
  bool needs_claim = false;
  Fingerprint fingerprint;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  std::vector<std::uint64_t> prefix_hashes;
  MonotonicTime accepted_at;
  // No attempt is sent after this time.
  MonotonicTime deadline;
};

// Events, from the request table to the state machine.
struct SubmittedEvent {};
struct ClaimAnsweredEvent {
  ClaimAnswer answer;
};
struct ClaimReleasedEvent {
  bool confirmed = false;
};
struct PermitGrantedEvent {
  Permit permit;
};
struct PermitRefusedEvent {
  Refusal refusal;
};
struct UpstreamSendingEvent {
  std::uint32_t attempt = 0;
};
struct UpstreamHeadEvent {
  std::uint32_t attempt = 0;
  int status = 0;
  std::string content_type;
};
struct UpstreamDataEvent {
  std::uint32_t attempt = 0;
  std::string data;
};
struct UpstreamCompletedEvent {
  std::uint32_t attempt = 0;
};
struct UpstreamFailedEvent {
  std::uint32_t attempt = 0;
  Error error;
  ExecutionKnowledge knowledge = ExecutionKnowledge::kMaybeExecuted;
};
// Token counts that the engine reported in its response.
struct UsageEvent {
  std::uint32_t cached_tokens = 0;
  std::uint32_t output_tokens = 0;
};
// The assembled response exceeds the buffer limit for one caller.
struct ResponseTooLargeEvent {};
struct CallerBacklogEvent {
  std::size_t outstanding_bytes = 0;
};
struct CallerDisconnectedEvent {};
struct DrainEvent {};
struct TimerEvent {};

using RequestEvent = std::variant<SubmittedEvent,
                                  ClaimAnsweredEvent,
                                  ClaimReleasedEvent,
                                  PermitGrantedEvent,
                                  PermitRefusedEvent,
                                  UpstreamSendingEvent,
                                  UpstreamHeadEvent,
                                  UpstreamDataEvent,
                                  UpstreamCompletedEvent,
                                  UpstreamFailedEvent,
                                  UsageEvent,
                                  ResponseTooLargeEvent,
                                  CallerBacklogEvent,
                                  CallerDisconnectedEvent,
                                  DrainEvent,
                                  TimerEvent>;

// Actions, from the state machine to the request table, executed in order.
struct AcquireClaimAction {
  ClaimRequest request;
};
struct AbandonClaimAction {};
struct ReleaseClaimAction {};
struct RecordClaimAction {
  RecordedOutcome outcome;
};
struct LeaveClaimUnresolvedAction {};
struct RequestPermitAction {
  PermitRequest request;
};
struct CancelPermitAction {};
struct ReportPermitAction {
  PermitOutcome outcome;
};
struct StartUpstreamAction {
  std::uint32_t attempt = 0;
  Permit permit;
  // Time limits for the first byte of the response and for the complete call.
  std::chrono::milliseconds first_byte_time_limit{0};
  std::chrono::milliseconds total_time_limit{0};
};
struct CancelUpstreamAction {};
struct PauseUpstreamAction {
  bool paused = false;
};
struct StartResponseAction {
  UpstreamId upstream;
};
// Forwards one event, or appends it to the response that is being assembled.
struct SendEventAction {
  std::string data;
};
// Ends a stream, or sends the assembled response.
struct FinishResponseAction {};
struct SendResponseAction {
  int status = 0;
  std::string content_type;
  std::string body;
  // True for the recorded response of an earlier attempt.
  bool recorded = false;
};
struct FailResponseAction {
  Refusal refusal;
};
struct SendRefusalAction {
  Refusal refusal;
};
// The request has ended; the request table deletes the state machine.
struct RemoveRequestAction {};

using RequestAction = std::variant<AcquireClaimAction,
                                   AbandonClaimAction,
                                   ReleaseClaimAction,
                                   RecordClaimAction,
                                   LeaveClaimUnresolvedAction,
                                   RequestPermitAction,
                                   CancelPermitAction,
                                   ReportPermitAction,
                                   StartUpstreamAction,
                                   CancelUpstreamAction,
                                   PauseUpstreamAction,
                                   StartResponseAction,
                                   SendEventAction,
                                   FinishResponseAction,
                                   SendResponseAction,
                                   FailResponseAction,
                                   SendRefusalAction,
                                   RemoveRequestAction>;

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_REQUESTS_REQUEST_EVENTS_H_
