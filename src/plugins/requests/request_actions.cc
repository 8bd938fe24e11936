// Execution of state machine actions by the request table.

#include <algorithm>
#include <utility>

#include "plugins/requests/call_observer.h"
#include "plugins/requests/chat_body.h"
#include "plugins/requests/request_table.h"

namespace flamingogauge {
namespace {

constexpr std::size_t kMaxAssembledBytes = 1000U << 10U;

std::vector<HttpHeader> ResponseHeaders(const RequestId& id) {
  return {{.name = "X-Request-Id", .value = ToString(id)}};
}

// Returns the cause label for wasted prefill, or an empty string if the prefill
// was used or not computed.
std::string_view WastedPrefillCause(PermitEnd end) {
  switch (end) {
    case PermitEnd::kCancelled:
      return "cancelled";
    case PermitEnd::kFailed:
    case PermitEnd::kCrashed:
      return "failed";
    case PermitEnd::kUnused:
    case PermitEnd::kNotExecuted:
    case PermitEnd::kCompleted:
      break;
  }
  return "";
}

}  // namespace

void RequestTable::Execute(const ActivePointer& request,
                           AcquireClaimAction action) {
  const RequestId id = request->machine.spec().id;
  services_.claims->Acquire(
      std::move(action.request), [inbox = inbox_, id](ClaimAnswer answer) {
        inbox->Post(id, ClaimAnsweredEvent{.answer = std::move(answer)});
      });
}

void RequestTable::Execute(const ActivePointer& request,
                           const AbandonClaimAction& /*action*/) {
  services_.claims->Abandon(request->machine.spec().id);
}

void RequestTable::Execute(const ActivePointer& request,
                           const ReleaseClaimAction& /*action*/) {
  const RequestId id = request->machine.spec().id;
  services_.claims->Release(id, [inbox = inbox_, id](bool confirmed) {
    inbox->Post(id, ClaimReleasedEvent{.confirmed = confirmed});
  });
}

void RequestTable::Execute(const ActivePointer& request,
                           RecordClaimAction action) {
  services_.claims->Record(request->machine.spec().id,
                           std::move(action.outcome));
}

void RequestTable::Execute(const ActivePointer& request,
                           const LeaveClaimUnresolvedAction& /*action*/) {
  services_.claims->LeaveUnresolved(request->machine.spec().id);
}

void RequestTable::Execute(const ActivePointer& /*request*/,
                           RequestPermitAction action) {
  services_.permits->Request(std::move(action.request));
}

void RequestTable::Execute(const ActivePointer& request,
                           const CancelPermitAction& /*action*/) {
  services_.permits->Cancel(request->machine.spec().id);
}

void RequestTable::Execute(const ActivePointer& request,
                           const ReportPermitAction& action) {
  const PermitOutcome& outcome = action.outcome;
  if (request->machine.spec().response_mode != ResponseMode::kService) {
    const std::uint32_t computed =
        outcome.prompt_tokens -
        std::min(outcome.cached_tokens, outcome.prompt_tokens);
    const std::string_view cause = WastedPrefillCause(outcome.end);
    if (!cause.empty()) {
      metrics_->CountWastedPrefill(cause, computed);
    }
    if (!cause.empty() || outcome.end == PermitEnd::kCompleted) {
      metrics_->CountPrefill(computed);
    }
  }
  services_.permits->Report(outcome);
}

void RequestTable::Execute(const ActivePointer& request,
                           const StartUpstreamAction& action) {
  const RequestStateMachine& machine = request->machine;
  const bool is_engine = machine.spec().response_mode != ResponseMode::kService;
  services_.upstreams->Start(
      {.id = machine.spec().id,
       .upstream = action.permit.upstream,
       .address = action.permit.address,
       .method = request->method,
       .path = request->path,
       .headers = request->headers,
       .body = request->body,
       .is_engine = is_engine,
       .first_byte_time_limit = action.first_byte_time_limit,
       .total_time_limit = action.total_time_limit},
      std::make_shared<CallObserver>(machine.spec().id, action.attempt,
                                     machine.gate(), inbox_,
                                     services_.upstreams));
}

void RequestTable::Execute(const ActivePointer& request,
                           const CancelUpstreamAction& /*action*/) {
  services_.upstreams->Cancel(request->machine.spec().id);
}

void RequestTable::Execute(const ActivePointer& request,
                           const PauseUpstreamAction& action) {
  services_.upstreams->SetPaused(request->machine.spec().id, action.paused);
}

void RequestTable::Execute(const ActivePointer& request,
                           const StartResponseAction& /*action*/) {
  request->sink->StartStream(ResponseHeaders(request->machine.spec().id));
}

void RequestTable::Execute(const ActivePointer& request,
                           const SendEventAction& action) {
  ObserveEvent(*request);
  const RequestId& id = request->machine.spec().id;
  if (const auto usage = FindUsage(action.data)) {
    inbox_->Post(id, UsageEvent{.cached_tokens = usage->cached_tokens,
                                .output_tokens = usage->output_tokens});
  }
  if (!request->assembler) {
    const std::size_t outstanding = request->sink->SendEvent(action.data);
    for (RequestAction& next : request->machine.Handle(
             CallerBacklogEvent{.outstanding_bytes = outstanding}, now_)) {
      std::visit(
          [this, &request](auto& it) { Execute(request, std::move(it)); },
          next);
    }
    return;
  }
  request->assembler->Add(action.data);
  if (request->assembler->size() > kMaxAssembledBytes) {
    inbox_->Post(id, ResponseTooLargeEvent{});
  }
}

void RequestTable::Execute(const ActivePointer& request,
                           const FinishResponseAction& /*action*/) {
  if (request->assembler) {
    SendAssembledResponse(*request);
    return;
  }
  CountCompleted(*request);
  request->sink->FinishStream();
}

void RequestTable::SendAssembledResponse(ActiveRequest& request) {
  const RequestId& id = request.machine.spec().id;
  Result<std::string> body = request.assembler->Finish();
  if (!body) {
    metrics_->CountRefusal(RefusalKind::kUpstreamError);
    request.sink->SendRefusal(id, {.kind = RefusalKind::kUpstreamError,
                                   .run_status = RunStatus::kExecuted,
                                   .message = ToString(body.error())});
    return;
  }
  CountCompleted(request);
  request.sink->SendWhole(200, ResponseHeaders(id), "application/json",
                          std::move(body.value()));
}

void RequestTable::Execute(const ActivePointer& request,
                           SendResponseAction action) {
  std::vector<HttpHeader> headers = ResponseHeaders(request->machine.spec().id);
  if (action.recorded) {
    headers.push_back({.name = "Flamingogauge-Replayed", .value = "true"});
  }
  CountCompleted(*request);
  request->sink->SendWhole(action.status, std::move(headers),
                           std::move(action.content_type),
                           std::move(action.body));
}

void RequestTable::Execute(const ActivePointer& request,
                           const FailResponseAction& action) {
  metrics_->CountRefusal(action.refusal.kind);
  request->sink->FailStream(request->machine.spec().id, action.refusal);
}

void RequestTable::Execute(const ActivePointer& request,
                           const SendRefusalAction& action) {
  metrics_->CountRefusal(action.refusal.kind);
  request->sink->SendRefusal(request->machine.spec().id, action.refusal);
}

void RequestTable::Execute(const ActivePointer& request,
                           const RemoveRequestAction& /*action*/) {
  requests_.erase(request->machine.spec().id);
}

void RequestTable::ObserveEvent(ActiveRequest& request) {
  if (request.last_event_at == MonotonicTime{}) {
    metrics_->ObserveFirstToken(request.tier_name,
                                now_ - request.machine.spec().accepted_at);
  } else {
    metrics_->ObserveGap(request.tier_name, now_ - request.last_event_at);
  }
  request.last_event_at = now_;
}

void RequestTable::CountCompleted(const ActiveRequest& request) {
  const RequestSpec& spec = request.machine.spec();
  const bool is_engine = spec.response_mode != ResponseMode::kService;
  const bool first_in_time =
      !is_engine || request.machine.first_token_at() - spec.accepted_at <=
                        request.first_token_target;
  const bool late = now_ > spec.deadline;
  metrics_->CountCompleted(request.tier_name, first_in_time && !late);
  if (late && is_engine) {
    metrics_->CountWastedPrefill("late", spec.prompt_tokens);
  }
}

}  // namespace flamingogauge
