#include "plugins/callers/http_caller_sink.h"

#include <utility>

#include "plugins/callers/caller_errors.h"

namespace flamingogauge {
namespace {

constexpr int kStatusOk = 200;

// Formats one server-sent event. Each line of the data gets its own data field.
std::string FormatEvent(std::string_view data) {
  std::string text = "data: ";
  text.reserve(data.size() + 8);
  for (const char it : data) {
    text += it;
    if (it == '\n') {
      text += "data: ";
    }
  }
  return text + "\n\n";
}

}  // namespace

HttpCallerSink::HttpCallerSink(std::shared_ptr<HttpExchange> exchange)
    : exchange_(std::move(exchange)) {}

void HttpCallerSink::SendWhole(int status,
                               std::vector<HttpHeader> headers,
                               std::string content_type,
                               std::string body) {
  exchange_->SendWhole(status, headers, content_type, body);
}

void HttpCallerSink::StartStream(std::vector<HttpHeader> headers) {
  headers.push_back({.name = "Cache-Control", .value = "no-cache"});
  exchange_->StartStream(kStatusOk, headers, "text/event-stream");
}

std::size_t HttpCallerSink::SendEvent(std::string_view data) {
  return exchange_->SendPart(FormatEvent(data));
}

void HttpCallerSink::FinishStream() {
  exchange_->SendPart("data: [DONE]\n\n");
  exchange_->EndStream(/*complete=*/true);
}

void HttpCallerSink::FailStream(RequestId id, const Refusal& refusal) {
  exchange_->SendPart("event: error\n" +
                      FormatEvent(FormatRefusal(refusal, ToString(id))));
  exchange_->EndStream(/*complete=*/true);
}

void HttpCallerSink::SendRefusal(RequestId id, const Refusal& refusal) {
  const std::string request_id = ToString(id);
  exchange_->SendWhole(StatusOf(refusal.kind),
                       RefusalHeaders(refusal, request_id), "application/json",
                       FormatRefusal(refusal, request_id));
}

}  // namespace flamingogauge
