#ifndef FLAMINGOGAUGE_LIBS_HTTP_FRAMING_EVENT_STREAM_SPLITTER_H_
#define FLAMINGOGAUGE_LIBS_HTTP_FRAMING_EVENT_STREAM_SPLITTER_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace flamingogauge {

// Cuts a text/event-stream into whole events, so that a stream that breaks off
// in the middle of an event can continue elsewhere after the last whole one.
class EventStreamSplitter {
 public:
  // Takes more of the stream and returns the events that are whole now, as
  // they were written.
  std::string Feed(std::string_view bytes);

  // Drops the beginning of an event that was not completed.
  void DropPartialEvent() { pending_.clear(); }

  bool has_partial_event() const { return !pending_.empty(); }
  // The "id" of the last whole event that had one.
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
