#ifndef FLAMINGOGAUGE_LIBS_HTTP_FRAMING_EVENT_BOUNDARY_TRACKER_H_
#define FLAMINGOGAUGE_LIBS_HTTP_FRAMING_EVENT_BOUNDARY_TRACKER_H_

#include <string>
#include <string_view>

namespace flamingogauge {

// Tells whether a text/event-stream that is passed on as it arrives ends within
// an event. Lines may end with LF or CRLF.
class EventBoundaryTracker {
 public:
  void Feed(std::string_view bytes);
  // False before the first byte and after an empty line.
  bool is_within_event() const;

 private:
  // The last bytes of the stream, as many as an empty line may need.
  std::string tail_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_HTTP_FRAMING_EVENT_BOUNDARY_TRACKER_H_
