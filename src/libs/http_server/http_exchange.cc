#include "libs/http_server/http_exchange.h"

#include <array>
#include <cstdio>
#include <utility>

#include "libs/http_framing/reason_phrase.h"
#include "libs/http_server/http_connection.h"

namespace flamingogauge {
namespace {

// Replaces line breaks, which would allow header injection.
std::string WithoutLineBreaks(std::string_view value) {
  std::string text(value);
  for (char& it : text) {
    if (it == '\r' || it == '\n') {
      it = ' ';
    }
  }
  return text;
}

std::string FormatHead(int status,
                       const std::vector<HttpHeader>& headers,
                       std::string_view content_type) {
  std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
  head += ReasonPhrase(status);
  head += "\r\n";
  if (!content_type.empty()) {
    head += "Content-Type: " + WithoutLineBreaks(content_type) + "\r\n";
  }
  for (const HttpHeader& it : headers) {
    head += it.name + ": " + WithoutLineBreaks(it.value) + "\r\n";
  }
  return head;
}

}  // namespace

HttpExchange::HttpExchange(std::shared_ptr<HttpConnection> connection,
                           std::uint64_t number,
                           bool chunked)
    : connection_(std::move(connection)), number_(number), chunked_(chunked) {}

void HttpExchange::SetListener(std::function<void()> on_gone,
                               std::function<void()> on_drained) {
  connection_->SetListener(number_, std::move(on_gone), std::move(on_drained));
}

void HttpExchange::SendWhole(int status,
                             const std::vector<HttpHeader>& headers,
                             std::string_view content_type,
                             std::string_view body) {
  std::string bytes = FormatHead(status, headers, content_type);
  bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  if (connection_->ClosesAfterAnswer()) {
    bytes += "Connection: close\r\n";
  }
  bytes += "\r\n";
  bytes += body;
  connection_->Write(number_, bytes, AnswerEnd::kComplete);
}

void HttpExchange::StartStream(int status,
                               const std::vector<HttpHeader>& headers,
                               std::string_view content_type) {
  std::string bytes = FormatHead(status, headers, content_type);
  bytes += chunked_ ? "Transfer-Encoding: chunked\r\n" : "";
  if (!chunked_ || connection_->ClosesAfterAnswer()) {
    bytes += "Connection: close\r\n";
  }
  bytes += "\r\n";
  connection_->Write(number_, bytes, AnswerEnd::kOpen);
}

std::size_t HttpExchange::SendPart(std::string_view bytes) {
  if (bytes.empty()) {
    return connection_->Outstanding();
  }
  if (!chunked_) {
    return connection_->Write(number_, bytes, AnswerEnd::kOpen);
  }
  std::array<char, 20> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  std::string chunk = size.data();
  chunk += bytes;
  chunk += "\r\n";
  return connection_->Write(number_, chunk, AnswerEnd::kOpen);
}

void HttpExchange::EndStream(bool complete) {
  if (complete && chunked_) {
    connection_->Write(number_, "0\r\n\r\n", AnswerEnd::kComplete);
  } else {
    connection_->Write(number_, "", AnswerEnd::kClose);
  }
}

}  // namespace flamingogauge
