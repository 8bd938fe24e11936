#include "plugins/upstreams/sse_parser.h"

#include <charconv>
#include <utility>

namespace flamingogauge {

bool SseParser::Feed(std::string_view bytes, std::vector<SseEvent>& events) {
  while (!bytes.empty()) {
    const std::size_t end = bytes.find('\n');
    if (end == std::string_view::npos) {
      partial_line_.append(bytes);
      break;
    }
    if (partial_line_.empty()) {
      HandleLine(bytes.substr(0, end), events);
    } else {
      partial_line_.append(bytes.substr(0, end));
      HandleLine(partial_line_, events);
      partial_line_.clear();
    }
    bytes.remove_prefix(end + 1);
    if (event_.data.size() > kMaxEventBytes) {
      return false;
    }
  }
  return partial_line_.size() <= kMaxEventBytes;
}

void SseParser::HandleLine(std::string_view line,
                           std::vector<SseEvent>& events) {
  if (!line.empty() && line.back() == '\r') {
    line.remove_suffix(1);
  }
  if (line.empty()) {
    if (has_data_) {
      events.push_back(std::move(event_));
    }
    event_ = SseEvent{};
    has_data_ = false;
    return;
  }
  const std::size_t colon = line.find(':');
  const std::string_view field = line.substr(0, colon);
  std::string_view value =
      colon == std::string_view::npos ? "" : line.substr(colon + 1);
  if (!value.empty() && value.front() == ' ') {
    value.remove_prefix(1);
  }
  if (field == "data") {
    if (has_data_) {
      event_.data += '\n';
    }
    event_.data.append(value);
    has_data_ = true;
  } else if (field == "id") {
    std::uint64_t id = 0;
    const auto* last = value.data() + value.size();
    const auto [end, ec] = std::from_chars(value.data(), last, id);
    if (ec == std::errc() && end == last) {
      event_.id = id;
    }
  }
}

}  // namespace flamingogauge
