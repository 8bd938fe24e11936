#include "libs/http_framing/event_stream_splitter.h"

#include <algorithm>
#include <utility>

namespace flamingogauge {
namespace {

constexpr std::string_view kIdField = "id:";
constexpr std::string_view kLf = "\n";
constexpr std::string_view kCrlf = "\r\n";

// An empty line and the end of the line before it.
constexpr std::size_t kMaxEventEnd = 3;

// Returns the position after the first empty line that ends after `from`, or
// npos. Lines may end with LF or CRLF.
std::size_t EventEnd(std::string_view text, std::size_t from) {
  for (std::size_t at = text.find('\n', from); at != std::string_view::npos;
       at = text.find('\n', at + 1)) {
    const std::string_view next = text.substr(at + 1);
    if (next.starts_with(kLf)) {
      return at + 1 + kLf.size();
    }
    if (next.starts_with(kCrlf)) {
      return at + 1 + kCrlf.size();
    }
  }
  return std::string_view::npos;
}

}  // namespace

std::string EventStreamSplitter::Feed(std::string_view bytes) {
  // What is pending has no end, but may have the beginning of one.
  std::size_t from = pending_.size() - std::min(pending_.size(), kMaxEventEnd);
  pending_.append(bytes);
  std::size_t complete_size = 0;
  while (true) {
    const std::string_view rest =
        std::string_view(pending_).substr(complete_size);
    const std::size_t end = EventEnd(rest, std::exchange(from, 0));
    if (end == std::string_view::npos) {
      break;
    }
    ReadEventId(rest.substr(0, end));
    ++event_count_;
    complete_size += end;
  }
  std::string events = pending_.substr(0, complete_size);
  pending_.erase(0, complete_size);
  return events;
}

void EventStreamSplitter::ReadEventId(std::string_view event) {
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    if (line.substr(0, kIdField.size()) == kIdField) {
      line.remove_prefix(kIdField.size());
      if (!line.empty() && line.front() == ' ') {
        line.remove_prefix(1);
      }
      last_event_id_ = std::string(line);
    }
  }
}

}  // namespace flamingogauge
