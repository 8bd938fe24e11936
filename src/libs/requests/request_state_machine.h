#ifndef FLAMINGOGAUGE_LIBS_REQUESTS_REQUEST_STATE_MACHINE_H_
#define FLAMINGOGAUGE_LIBS_REQUESTS_REQUEST_STATE_MACHINE_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/requests/dispatch_gate.h"
#include "libs/requests/request_events.h"

namespace flamingogauge {

enum class RequestState {
  kReceived,
  kClaiming,
  kQueued,
  kConnecting,  // an attempt was started, no byte is known to be sent
  kSending,
  kStreaming,  // the response head was received
  kStopping,   // the attempt was cancelled and has not ended yet
  kReleasing,  // refused, waiting for the release of the claim
  kFinished,
};

std::string_view ToString(RequestState state);

struct RequestLimits {
  // Attempts after the first one. A request is retried only when its last
  // attempt was not executed.
  std::uint32_t max_retries = 2;
  // Number of permits that may expire unused before the request is refused.
  std::uint32_t max_stale_permits = 8;
  // How long after the deadline the claim service may still answer.
  std::chrono::milliseconds claim_grace{1000};
  // How long the result of an abandoned claim is waited for; it may already be
  // queued for this thread.
  std::chrono::milliseconds abandon_grace{250};
  // How long a refusal waits for the confirmed release of its claim.
  std::chrono::milliseconds release_time_limit{2000};
  // How long a response that has started may continue after the deadline.
  std::chrono::milliseconds max_overrun{60000};
  // The upstream call is paused above this number of bytes that the caller has
  // not read.
  std::size_t pause_bytes = 256U << 10U;
  // Maximum size of a service response.
  std::size_t max_answer_bytes = 1000U << 10U;
  // Maximum size of a response that is stored with its claim.
  std::size_t max_recorded_bytes = 64U << 10U;
};

// The state machine of one request, from acceptance to completion (section 3.1
// of the design). It performs no I/O and reads no clock: it is given events
// with the current time, and returns actions in the order in which they have to
// be executed. Asserts the invariants I1, I3 and I4.
class RequestStateMachine {
 public:
  RequestStateMachine(RequestSpec spec, RequestLimits limits);

  std::vector<RequestAction> Handle(const RequestEvent& event,
                                    MonotonicTime now);

  // When the next TimerEvent is due.
  MonotonicTime NextTimeout() const;

  RequestState state() const { return state_; }
  const RequestSpec& spec() const { return spec_; }
  const std::shared_ptr<DispatchGate>& gate() const { return gate_; }
  std::uint32_t attempt() const { return attempt_; }
  // When the first event of the response arrived; the clock's epoch before
  // that.
  MonotonicTime first_token_at() const { return first_token_at_; }
  std::uint32_t output_tokens() const { return output_tokens_; }
  bool caller_disconnected() const { return caller_disconnected_; }

 private:
  void On(const SubmittedEvent& event);
  void On(const ClaimAnsweredEvent& event);
  void On(const ClaimReleasedEvent& event);
  void On(const PermitGrantedEvent& event);
  void On(const PermitRefusedEvent& event);
  void On(const UpstreamSendingEvent& event);
  void On(const UpstreamHeadEvent& event);
  void On(const UpstreamDataEvent& event);
  void On(const UpstreamCompletedEvent& event);
  void On(const UpstreamFailedEvent& event);
  void On(const UsageEvent& event);
  void On(const ResponseTooLargeEvent& event);
  void On(const CallerBacklogEvent& event);
  void On(const CallerDisconnectedEvent& event);
  void On(const DrainEvent& event);
  void On(const TimerEvent& event);

  bool IsService() const {
    return spec_.response_mode == ResponseMode::kService;
  }
  bool IsCurrent(std::uint32_t attempt) const;
  MonotonicTime DispatchDeadline(const Permit& permit) const;
  RunStatus NotRunStatus(bool release_confirmed) const;
  RunStatus StartedRunStatus() const;

  void Queue();
  void AbandonClaim(Refusal refusal);
  void UseClaim(const ClaimAnswer& answer);
  void StartAttempt(const Permit& permit);
  void RetryOrRefuse(const Error& error, bool permit_used);
  void HandleNotExecuted(const Error& error, ExecutionKnowledge knowledge);
  void HandleMaybeExecuted(const Error& error);
  void DeliverEngineEvent(const std::string& data);
  void CompleteEngine();
  void CompleteService();
  // Cancels the attempt in progress. The caller is refused when the attempt has
  // ended if nothing was sent, or immediately if something may have been sent.
  void StopAttempt(const Refusal& refusal);
  void ReportPermit(PermitEnd end);

  // Ends a request that was not executed.
  void Refuse(Refusal refusal);
  // Ends the response of a request that may have been executed.
  void Fail(Refusal refusal);
  void SendRefusal(const Refusal& refusal);
  void Finish();
  void Emit(RequestAction action) { actions_.push_back(std::move(action)); }

  const RequestSpec spec_;
  const RequestLimits limits_;
  const std::shared_ptr<DispatchGate> gate_;
  RequestState state_ = RequestState::kReceived;
  MonotonicTime now_;
  std::vector<RequestAction> actions_;

  MonotonicTime claim_deadline_;
  bool claim_owned_ = false;
  MonotonicTime claim_valid_until_;
  Permit permit_;
  std::uint32_t attempt_ = 0;
  std::uint32_t retries_ = 0;
  std::uint32_t stale_permits_ = 0;
  std::vector<UpstreamId> excluded_;

  // Sent to the caller when the attempt, or the release of the claim, has
  // ended.
  std::optional<Refusal> pending_refusal_;
  MonotonicTime release_deadline_;
  bool caller_disconnected_ = false;
  // The caller was sent a complete response, a failure or a refusal.
  bool answered_ = false;
  bool answer_started_ = false;
  // The attempt whose events make up the response.
  std::uint32_t answer_attempt_ = 0;
  bool paused_ = false;

  MonotonicTime started_at_;
  MonotonicTime first_token_at_;
  int status_ = 0;
  std::string content_type_;
  // The body of a service response or of an engine's error response.
  std::string body_;
  bool body_truncated_ = false;
  std::uint32_t output_tokens_ = 0;
  std::uint32_t reported_output_tokens_ = 0;
  std::uint32_t cached_tokens_ = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_REQUESTS_REQUEST_STATE_MACHINE_H_
