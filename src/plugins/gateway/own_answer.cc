#include "plugins/gateway/own_answer.h"

#include <array>
#include <cstdio>

#include "libs/http_framing/http_fields.h"
#include "libs/http_framing/reason_phrase.h"

namespace flamingogauge {
namespace {

std::string FormatSeconds(std::chrono::milliseconds time) {
  std::array<char, 32> buf{};
  std::snprintf(buf.data(), buf.size(), "%.3f",
                static_cast<double>(time.count()) / 1000);
  return buf.data();
}

}  // namespace

std::string ComposeOwnAnswer(const OwnAnswer& answer) {
  std::string bytes = "HTTP/1.1 " + std::to_string(answer.status) + " " +
                      std::string(ReasonPhrase(answer.status)) + "\r\n";
  if (!answer.request_id.empty()) {
    AppendField(answer.request_id_header, answer.request_id, bytes);
  }
  if (answer.retry_after) {
    AppendField("Retry-After", FormatSeconds(*answer.retry_after), bytes);
  }
  AppendField("Content-Length", "0", bytes);
  if (!answer.keep) {
    AppendField("Connection", "close", bytes);
  }
  bytes += "\r\n";
  return bytes;
}

}  // namespace flamingogauge
