#include "plugins/requests/call_observer.h"

#include <strings.h>

#include <chrono>

namespace flamingogauge {

CallObserver::CallObserver(RequestId id,
                           std::uint32_t attempt,
                           std::shared_ptr<DispatchGate> gate,
                           std::shared_ptr<RequestInbox> inbox,
                           UpstreamClient* client)
    : id_(id),
      attempt_(attempt),
      gate_(std::move(gate)),
      inbox_(std::move(inbox)),
      client_(client) {}

bool CallObserver::OnSending() {
  if (!gate_->TryDispatch(attempt_, std::chrono::steady_clock::now())) {
    return false;
  }
  inbox_->Post(id_, UpstreamSendingEvent{.attempt = attempt_});
  return true;
}

void CallObserver::OnHead(int status, std::vector<HttpHeader> headers) {
  UpstreamHeadEvent event{.attempt = attempt_, .status = status};
  for (HttpHeader& it : headers) {
    if (strcasecmp(it.name.c_str(), "content-type") == 0) {
      event.content_type = std::move(it.value);
    }
  }
  inbox_->Post(id_, std::move(event));
}

void CallObserver::OnData(std::string data) {
  if (data_lost_) {
    return;
  }
  if (!inbox_->TryPost(id_, UpstreamDataEvent{.attempt = attempt_,
                                              .data = std::move(data)})) {
    data_lost_ = true;
    client_->Cancel(id_);
  }
}

void CallObserver::OnComplete() {
  if (data_lost_) {
    OnFailed({.code = ErrorCode::kResourceExhausted,
              .step = "read response",
              .message = "queue of the requests thread was full"},
             ExecutionKnowledge::kMaybeExecuted);
    return;
  }
  inbox_->Post(id_, UpstreamCompletedEvent{.attempt = attempt_});
}

void CallObserver::OnFailed(Error error, ExecutionKnowledge knowledge) {
  inbox_->Post(id_, UpstreamFailedEvent{.attempt = attempt_,
                                        .error = std::move(error),
                                        .knowledge = knowledge});
}

}  // namespace flamingogauge
