#ifndef FLAMINGOGAUGE_PLUGINS_UPSTREAMS_SSE_PARSER_H_
#define FLAMINGOGAUGE_PLUGINS_UPSTREAMS_SSE_PARSER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace flamingogauge {

// One server-sent event with data.
struct SseEvent {
  // The offset of the event in its stream, when its id is a decimal number.
  std::optional<std::uint64_t> id;
  std::string data;
};

// Splits the bytes of one connection into server-sent events, following the
// event stream format of the HTML standard.
class SseParser {
 public:
  // Larger events are refused, which bounds the memory of a connection.
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
