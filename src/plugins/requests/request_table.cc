#include "plugins/requests/request_table.h"

#include <array>
#include <utility>
#include <variant>

namespace flamingogauge {
namespace {

constexpr std::chrono::milliseconds kRetryAfter{1000};
constexpr std::size_t kMaxDumpedRequests = 20;

// Run status of a refusal before any attempt was made.
RunStatus InitialRunStatus(const CallerRequest& request) {
  return request.idempotency_key.empty() ? RunStatus::kNotRun
                                         : RunStatus::kAttemptNotRun;
}

}  // namespace

RequestTable::ActiveRequest::ActiveRequest(
    ValidRequest valid,
    std::shared_ptr<CallerSink> caller_sink)
    : machine(std::move(valid.spec), RequestLimits{}),
      tier_name(std::move(valid.tier_name)),
      first_token_target(valid.first_token_target),
      method(std::move(valid.method)),
      path(std::move(valid.path)),
      headers(std::move(valid.headers)),
      body(std::move(valid.body)),
      sink(std::move(caller_sink)) {
  if (machine.spec().response_mode == ResponseMode::kBuffered) {
    assembler = std::make_unique<AnswerAssembler>();
  }
}

RequestTable::RequestTable(RequestServices services,
                           std::shared_ptr<RequestInbox> inbox,
                           RequestMetrics* metrics,
                           std::size_t max_requests)
    : services_(services),
      inbox_(std::move(inbox)),
      metrics_(metrics),
      max_requests_(max_requests) {}

void RequestTable::Handle(RequestMessage message, MonotonicTime now) {
  now_ = now;
  if (auto* submit = std::get_if<SubmitMessage>(&message.content)) {
    Submit(message.id, std::move(*submit), now);
    return;
  }
  const RequestEvent& event = std::get<RequestEvent>(message.content);
  const auto found = requests_.find(message.id);
  if (found == requests_.end()) {
    HandleLateEvent(message.id, event);
    return;
  }
  // Keeps the request alive until all its actions are executed.
  const ActivePointer request = found->second;
  Dispatch(request, event, now);
}

void RequestTable::Submit(const RequestId& id,
                          SubmitMessage message,
                          MonotonicTime now) {
  const auto refuse = [this, &id, &message](const Refusal& refusal) {
    metrics_->CountRefusal(refusal.kind);
    message.sink->SendRefusal(id, refusal);
  };
  const std::shared_ptr<const Document> document =
      services_.document->Current();
  const RunStatus run_status_before_attempt = InitialRunStatus(message.request);
  if (!document || requests_.size() >= max_requests_) {
    refuse({.kind = RefusalKind::kUnavailable,
            .run_status = run_status_before_attempt,
            .message = document ? "accept: too many requests in progress"
                                : "accept: no document is known yet",
            .retry_after = kRetryAfter});
    return;
  }
  auto valid = ValidateRequest(*document, id, std::move(message.request), now);
  if (const auto* refusal = std::get_if<Refusal>(&valid)) {
    refuse(*refusal);
    return;
  }
  auto& accepted = std::get<ValidRequest>(valid);
  if (services_.quarantine != nullptr &&
      services_.quarantine->IsQuarantined(accepted.spec.fingerprint)) {
    refuse({.kind = RefusalKind::kQuarantined,
            .run_status = run_status_before_attempt,
            .message = "this request crashed upstreams and is quarantined as " +
                       ToString(accepted.spec.fingerprint)});
    return;
  }
  metrics_->CountAccepted(accepted.tier_name);
  const auto request = std::make_shared<ActiveRequest>(std::move(accepted),
                                                       std::move(message.sink));
  requests_[id] = request;
  Dispatch(request, SubmittedEvent{}, now);
}

// Handles late events of a request that was removed: returns its permit or
// releases its claim.
void RequestTable::HandleLateEvent(const RequestId& id,
                                   const RequestEvent& event) {
  if (const auto* granted = std::get_if<PermitGrantedEvent>(&event)) {
    services_.permits->Report({.permit = granted->permit.id,
                               .request = id,
                               .upstream = granted->permit.upstream,
                               .end = PermitEnd::kUnused});
  } else if (const auto* claim = std::get_if<ClaimAnsweredEvent>(&event)) {
    if (claim->answer.verdict == ClaimVerdict::kOwned) {
      services_.claims->Release(id, [](bool /*confirmed*/) {});
    }
  }
}

void RequestTable::Dispatch(const ActivePointer& request,
                            const RequestEvent& event,
                            MonotonicTime now) {
  now_ = now;
  for (RequestAction& action : request->machine.Handle(event, now)) {
    std::visit([this, &request](auto& it) { Execute(request, std::move(it)); },
               action);
  }
  UpdateTimeout(request);
}

void RequestTable::UpdateTimeout(const ActivePointer& request) {
  const RequestId& id = request->machine.spec().id;
  const MonotonicTime timeout = request->machine.NextTimeout();
  if (timeout == request->timeout) {
    return;
  }
  timeouts_.erase({request->timeout, id.sequence});
  request->timeout = timeout;
  if (timeout != MonotonicTime::max()) {
    timeouts_.emplace(std::pair(timeout, id.sequence), id);
  }
}

void RequestTable::HandleTimeouts(MonotonicTime now) {
  while (!timeouts_.empty() && timeouts_.begin()->first.first <= now) {
    const RequestId id = timeouts_.begin()->second;
    timeouts_.erase(timeouts_.begin());
    const auto found = requests_.find(id);
    if (found != requests_.end()) {
      const ActivePointer request = found->second;
      request->timeout = MonotonicTime::max();
      Dispatch(request, TimerEvent{}, now);
    }
  }
}

MonotonicTime RequestTable::NextTimeout() const {
  return timeouts_.empty() ? MonotonicTime::max()
                           : timeouts_.begin()->first.first;
}

void RequestTable::Drain(MonotonicTime now) {
  std::vector<ActivePointer> requests;
  requests.reserve(requests_.size());
  for (const auto& [id, it] : requests_) {
    requests.push_back(it);
  }
  for (const ActivePointer& it : requests) {
    Dispatch(it, DrainEvent{}, now);
  }
}

std::string RequestTable::Dump() const {
  std::array<std::size_t, static_cast<std::size_t>(RequestState::kFinished) + 1>
      counts{};
  std::string listed;
  std::size_t n = 0;
  for (const auto& [id, it] : requests_) {
    const RequestStateMachine& machine = it->machine;
    ++counts[static_cast<std::size_t>(machine.state())];
    if (n++ < kMaxDumpedRequests) {
      listed += (listed.empty() ? "" : ",") + std::string("{\"id\":\"") +
                ToString(id) + "\",\"state\":\"" +
                std::string(ToString(machine.state())) +
                "\",\"tier\":" + std::to_string(machine.spec().tier) +
                ",\"attempt\":" + std::to_string(machine.attempt()) +
                ",\"tokens\":" + std::to_string(machine.output_tokens()) + "}";
    }
  }
  std::string text = "\"states\":{";
  for (std::size_t it = 0; it < counts.size(); ++it) {
    text += (it == 0 ? "\"" : ",\"") +
            std::string(ToString(static_cast<RequestState>(it))) +
            "\":" + std::to_string(counts[it]);
  }
  return text + "},\"requests\":[" + listed + "]";
}

}  // namespace flamingogauge
