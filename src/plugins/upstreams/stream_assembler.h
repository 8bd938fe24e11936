#ifndef FLAMINGOGAUGE_PLUGINS_UPSTREAMS_STREAM_ASSEMBLER_H_
#define FLAMINGOGAUGE_PLUGINS_UPSTREAMS_STREAM_ASSEMBLER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "plugins/upstreams/sse_parser.h"

namespace flamingogauge {

// Puts the events of one stream, received over one or more connections, into
// order: duplicates are dropped, early events wait for the missing ones, and
// nothing after a gap is handed out.
class StreamAssembler {
 public:
  enum class Verdict {
    kOpen,
    // All events up to [DONE] have been handed out.
    kDone,
    // Too many events wait for a missing one, or [DONE] contradicts the
    // events; the stream must be resumed at next_offset().
    kBroken,
  };

  // Events that may wait for a missing one, in number and bytes.
  static constexpr std::size_t kMaxWaiting = 64;
  static constexpr std::size_t kMaxWaitingBytes = 256U << 10U;

  // Starts a connection that was asked for events from next_offset(). Events
  // without an id are counted from there.
  void BeginConnection();

  // Takes an event and appends what can be handed out to `ready`.
  Verdict Accept(SseEvent event, std::vector<std::string>& ready);

  // The offset of the first event that has not been handed out.
  std::uint64_t next_offset() const { return next_offset_; }
  std::uint64_t duplicates() const { return duplicates_; }
  std::uint64_t reordered() const { return reordered_; }

 private:
  Verdict CurrentVerdict() const;

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
