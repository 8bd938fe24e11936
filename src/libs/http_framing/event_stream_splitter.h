#ifndef FLAMINGOGAUGE_LIBS_HTTP_FRAMING_EVENT_STREAM_SPLITTER_H_
#define FLAMINGOGAUGE_LIBS_HTTP_FRAMING_EVENT_STREAM_SPLITTER_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace flamingogauge {

// Splits a text/event-stream into complete events, so that a stream interrupted
// within an event can be resumed elsewhere after the last complete one.
class EventStreamSplitter {
 public:
  // Appends `bytes` to the stream and returns the events that are now complete,
  // byte for byte.
  std::string Feed(std::string_view bytes);

  // Discards the buffered bytes of an incomplete event.
  void DropPartialEvent() { pending_.clear(); }

  bool has_partial_event() const { return !pending_.empty(); }
  // The bytes of the incomplete event.
  std::size_t partial_size() const { return pending_.size(); }
  // The "id" of the last complete event that had one.
  const std::string& last_event_id() const { return last_event_id_; }
  std::size_t event_count() const { return event_count_; }

 private:
  void ReadEventId(std::string_view event);

  std::string pending_;
  std::string last_event_id_;
  std::size_t event_count_ = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_HTTP_FRAMING_EVENT_STREAM_SPLITTER_H_
