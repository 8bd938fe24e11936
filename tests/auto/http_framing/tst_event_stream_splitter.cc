#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <string>

#include "libs/http_framing/event_boundary_tracker.h"
#include "libs/http_framing/event_stream_splitter.h"

namespace flamingogauge {
namespace {

// Guards against a resumed stream that repeats or skips events: only complete
// events may be forwarded, and the last id must be that of a complete one.
TEST_CASE("only complete events are returned") {
  struct Row {
    std::string name;
    std::string text;
    const char* events;
    const char* last_id;
    bool partial;
  };
  for (const Row& row : {
           Row{"whole", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
               "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "2", false},
           Row{"cut in the id", "id: 1\ndata: a\n\nid: 12",
               "id: 1\ndata: a\n\n", "1", true},
           Row{"carriage returns", "id:7\r\ndata: a\r\n\r\n",
               "id:7\r\ndata: a\r\n\r\n", "7", false},
           Row{"line before the id", "weight-versions: 3\nid: 4\ndata: a\n\n",
               "weight-versions: 3\nid: 4\ndata: a\n\n", "4", false},
       }) {
    for (const std::size_t piece : {std::size_t{1}, row.text.size()}) {
      CAPTURE(row.name);
      CAPTURE(piece);
      EventStreamSplitter splitter;
      EventBoundaryTracker boundary;
      std::string events;
      for (std::size_t at = 0; at < row.text.size(); at += piece) {
        events += splitter.Feed(row.text.substr(at, piece));
        boundary.Feed(row.text.substr(at, piece));
      }
      CHECK(events == row.events);
      CHECK(splitter.last_event_id() == row.last_id);
      CHECK(splitter.has_partial_event() == row.partial);
      CHECK(boundary.is_within_event() == row.partial);
      splitter.DropPartialEvent();
      CHECK_FALSE(splitter.has_partial_event());
    }
  }
}

// Returns the shortest time of some runs, which other load disturbs least.
std::chrono::nanoseconds TimeToSplit(const std::string& events) {
  auto shortest = std::chrono::nanoseconds::max();
  for (int n = 0; n < 5; ++n) {
    EventStreamSplitter splitter;
    const auto start = std::chrono::steady_clock::now();
    splitter.Feed(events);
    shortest = std::min<std::chrono::nanoseconds>(
        shortest, std::chrono::steady_clock::now() - start);
  }
  return shortest;
}

// Guards against a host that stands still for seconds, with all its requests,
// because an upstream writes many small events at once.
TEST_CASE("the time to split events grows with their number") {
  std::string few;
  for (int n = 0; n < 2000; ++n) {
    few += "data: x\n\n";
  }
  std::string many;
  for (int n = 0; n < 16; ++n) {
    many += few;
  }
  // 16 if it is proportional, 256 if each event is compared with all others.
  CHECK(TimeToSplit(many) < 64 * TimeToSplit(few));
}

}  // namespace
}  // namespace flamingogauge
