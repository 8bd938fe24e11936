#include "plugins/orders/order_call.h"

#include <chrono>
#include <utility>

namespace flamingogauge {

bool OrderCall::OnSending() {
  return deadline_ == nullptr ||
         std::chrono::steady_clock::now() < deadline_->load();
}

void OrderCall::OnHead(int status, std::vector<HttpHeader> /*headers*/) {
  answer_.status = status;
}

void OrderCall::OnData(std::string data) {
  answer_.body += data;
}

void OrderCall::OnComplete() {
  callback_(std::move(answer_));
}

void OrderCall::OnFailed(Error /*error*/, ExecutionKnowledge /*knowledge*/) {
  callback_({});
}

}  // namespace flamingogauge
