#ifndef FLAMINGOGAUGE_PLUGINS_UPSTREAMS_SSE_PARSER_H_
#define FLAMINGOGAUGE_PLUGINS_UPSTREAMS_SSE_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace flamingogauge {

// A server-sent event that has at least one data field.
struct SseEvent {
  // The offset of the event in its stream, when its id is a decimal number.
  std::optional<std::uint64_t> id;
  std::string data;
};

// Parses server-sent events from the bytes of one connection, according to the
// event stream format of the HTML standard.
class SseParser {
 public:
  // Larger events are rejected to bound the memory of a connection.
  static constexpr std::size_t kMaxEventBytes = 1U << 20U;

  // Appends the events that end in `bytes` to `events`. Returns false when an
  // event is larger than kMaxEventBytes; the connection must then be closed.
  [[nodiscard]] bool Feed(std::string_view bytes,
                          std::vector<SseEvent>& events);

 private:
  void HandleLine(std::string_view line, std::vector<SseEvent>& events);

  std::string partial_line_;
  SseEvent event_;
  bool has_data_ = false;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_UPSTREAMS_SSE_PARSER_H_
