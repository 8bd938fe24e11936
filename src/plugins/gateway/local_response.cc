#include "plugins/gateway/local_response.h"

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

std::string FormatLocalResponse(const LocalResponse& response) {
  std::string bytes = "HTTP/1.1 " + std::to_string(response.status) + " " +
                      std::string(ReasonPhrase(response.status)) + "\r\n";
  if (!response.request_id.empty()) {
    AppendField(response.request_id_header, response.request_id, bytes);
  }
  if (response.retry_after) {
    AppendField("Retry-After", FormatSeconds(*response.retry_after), bytes);
  }
  AppendField("Content-Length", "0", bytes);
  if (!response.keep_open) {
    AppendField("Connection", "close", bytes);
  }
  bytes += "\r\n";
  return bytes;
}

}  // namespace flamingogauge
