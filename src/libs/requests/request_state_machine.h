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
  kConnecting,  // an attempt was started, no byte is known to have left
  kSending,
  kStreaming,  // the head of the answer has arrived
  kStopping,   // the attempt was cancelled, its end is awaited
  kReleasing,  // refused; the claim's release is awaited
  kFinished,
};

std::string_view ToString(RequestState state);

struct RequestLimits {
  // Attempts after the first, each where nothing was executed.
  std::uint32_t max_retries = 2;
  // Permits that expired before their use, after which a request is refused.
  std::uint32_t max_stale_permits = 8;
  // How long the claim service may overrun the deadline with its answer.
  std::chrono::milliseconds claim_grace{1000};
  // How long an abandoned claim may still be answered; its answer may be on
  // the way to this thread.
  std::chrono::milliseconds abandon_grace{250};
  // How long a refusal waits for the confirmation that its claim is released.
  std::chrono::milliseconds release_time_limit{2000};
  // How long an answer that has begun may continue after the deadline.
  std::chrono::milliseconds overrun{60000};
  // Unread bytes of a caller above which its upstream call is paused.
  std::size_t pause_bytes = 256U << 10U;
  // The largest answer of a service.
  std::size_t max_answer_bytes = 1000U << 10U;
  // The largest answer that is kept with a claim.
  std::size_t max_recorded_bytes = 64U << 10U;
};

// Leads one request from its acceptance to its end (design, section 3.1). It
// performs no input or output and has no clock: events go in with the time,
// and actions come out in the order in which they are to be carried out.
// Asserts the invariants I1, I3 and I4.
class RequestStateMachine {
 public:
  RequestStateMachine(RequestSpec spec, RequestLimits limits);

  std::vector<RequestAction> Handle(const RequestEvent& event,
                                    MonotonicTime now);

  // When the machine needs its next TimerEvent.
  MonotonicTime NextTimeout() const;

  RequestState state() const { return state_; }
  const RequestSpec& spec() const { return spec_; }
  const std::shared_ptr<DispatchGate>& gate() const { return gate_; }
  std::uint32_t attempt() const { return attempt_; }
  // When the first event of the answer arrived; the epoch before that.
  MonotonicTime first_token_at() const { return first_token_at_; }
  std::uint32_t output_tokens() const { return output_tokens_; }
  bool caller_gone() const { return caller_gone_; }

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
  MonotonicTime DispatchLimit(const Permit& permit) const;
  RunStatus NotRunStatus(bool release_confirmed) const;
  RunStatus BegunStatus() const;

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
  // Cancels the attempt in progress; what the caller is told follows when
  // nothing was sent, or now when something may have been.
  void StopAttempt(const Refusal& refusal);
  void ReportPermit(PermitEnd end);

  // Ends a request of which nothing was executed.
  void Refuse(Refusal refusal);
  // Ends the answer of a request that may have run.
  void Fail(Refusal refusal);
  void SendRefusal(const Refusal& refusal);
  void Finish();
  void Act(RequestAction action) { actions_.push_back(std::move(action)); }

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

  // What the caller is told when the attempt, or the release, has ended.
  std::optional<Refusal> pending_refusal_;
  MonotonicTime release_deadline_;
  bool caller_gone_ = false;
  // The caller has got the end of an answer or a refusal.
  bool answered_ = false;
  bool answer_started_ = false;
  // The attempt whose events form the answer.
  std::uint32_t answer_attempt_ = 0;
  bool paused_ = false;

  MonotonicTime started_at_;
  MonotonicTime first_token_at_;
  int status_ = 0;
  std::string content_type_;
  // A service's answer, or an engine's error text.
  std::string body_;
  bool body_truncated_ = false;
  std::uint32_t output_tokens_ = 0;
  std::uint32_t reported_output_tokens_ = 0;
  std::uint32_t cached_tokens_ = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_REQUESTS_REQUEST_STATE_MACHINE_H_
