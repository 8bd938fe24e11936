#include "plugins/upstreams/simple_exchange.h"

#include <utility>

namespace flamingogauge {

SimpleExchange::SimpleExchange(CurlLoop& loop,
                               const HttpTransferOptions& options,
                               std::chrono::milliseconds time_limit,
                               Callback callback)
    : loop_(loop), callback_(std::move(callback)) {
  timer_ =
      loop_.Schedule(std::chrono::steady_clock::now() + time_limit, [this] {
        outcome_.timed_out = true;
        transfer_.reset();
        Finish();
      });
  transfer_ = std::make_unique<HttpTransfer>(loop, options, *this);
}

SimpleExchange::~SimpleExchange() {
  loop_.Unschedule(timer_);
}

void SimpleExchange::OnHead(int status, std::vector<HttpHeader> /*headers*/) {
  outcome_.status = status;
}

bool SimpleExchange::OnBody(std::string_view bytes) {
  outcome_.body.append(bytes);
  return outcome_.body.size() <= kMaxBodyBytes;
}

void SimpleExchange::OnFinished(TransferEnd end,
                                const std::string& /*message*/) {
  outcome_.complete = end == TransferEnd::kComplete;
  Finish();
}

void SimpleExchange::Finish() {
  // Moved to a local first, because the callback may destroy this object.
  const Callback callback = std::move(callback_);
  callback(std::move(outcome_));
}

}  // namespace flamingogauge
