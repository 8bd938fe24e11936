#ifndef FLAMINGOGAUGE_PLUGINS_UPSTREAMS_STREAM_ASSEMBLER_H_
#define FLAMINGOGAUGE_PLUGINS_UPSTREAMS_STREAM_ASSEMBLER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "plugins/upstreams/sse_parser.h"

namespace flamingogauge {

// Restores the order of the events of one stream that is received over one or
// more connections. Drops duplicates, buffers events that arrive early, and
// delivers nothing behind a gap.
class StreamAssembler {
 public:
  enum class StreamState {
    kOpen,
    // All events up to [DONE] have been delivered.
    kDone,
    // Too many events are buffered behind a gap, or the offset of [DONE]
    // contradicts the events. The stream must be resumed at next_offset().
    kBroken,
  };

  // Limits of the events buffered behind a gap, in number and bytes.
  static constexpr std::size_t kMaxWaiting = 64;
  static constexpr std::size_t kMaxWaitingBytes = 256U << 10U;

  // Starts a connection whose request asked for events from next_offset() on.
  // Events without an id are numbered from there.
  void BeginConnection();

  // Takes an event and appends the data that is now in order to `ready`.
  StreamState Accept(SseEvent event, std::vector<std::string>& ready);

  // The offset of the first event that has not been delivered.
  std::uint64_t next_offset() const { return next_offset_; }
  std::uint64_t duplicates() const { return duplicates_; }
  std::uint64_t reordered() const { return reordered_; }

 private:
  StreamState CurrentState() const;

  std::uint64_t next_offset_ = 0;
  // The offset of the next event without an id on this connection.
  std::uint64_t implied_offset_ = 0;
  bool has_end_ = false;
  std::uint64_t end_offset_ = 0;
  std::map<std::uint64_t, std::string> waiting_;
  std::size_t waiting_bytes_ = 0;
  std::uint64_t duplicates_ = 0;
  std::uint64_t reordered_ = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_UPSTREAMS_STREAM_ASSEMBLER_H_
