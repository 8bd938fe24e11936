#include "libs/http_server/http_head_scanner.h"

namespace flamingogauge {

void HttpHeadScanner::Feed(std::string_view bytes) {
  constexpr std::string_view kEnd = "\r\n\r\n";
  received_bytes_ += bytes.size();
  for (const char it : bytes) {
    if (head_complete()) {
      return;
    }
    ++head_bytes_;
    if (it == kEnd[static_cast<std::size_t>(matched_)]) {
      ++matched_;
    } else {
      matched_ = it == '\r' ? 1 : 0;
    }
  }
}

}  // namespace flamingogauge
