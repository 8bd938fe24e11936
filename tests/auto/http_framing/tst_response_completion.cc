#include <doctest/doctest.h>

#include <cstddef>
#include <vector>

#include "libs/http_framing/response_completion.h"

namespace flamingogauge {
namespace {

enum class Event {
  kWritten,
  kWriteFailed,
  kFramingComplete,
  kReadFailed,
  // The end of the input, where the response ends with its connection.
  kEnd,
  // The end of the input before the response's length or last chunk.
  kEarlyEnd,
};

ResponseEnd EndAfter(const std::vector<Event>& events) {
  ResponseCompletion completion;
  for (const Event it : events) {
    switch (it) {
      case Event::kWritten:
        completion.OnRequestWritten();
        break;
      case Event::kWriteFailed:
        completion.OnRequestWriteFailed();
        break;
      case Event::kFramingComplete:
        completion.OnFramingComplete();
        break;
      case Event::kReadFailed:
        completion.OnReadFailed();
        break;
      case Event::kEnd:
        completion.OnEndOfInput(/*ends_with_connection=*/true);
        break;
      case Event::kEarlyEnd:
        completion.OnEndOfInput(/*ends_with_connection=*/false);
        break;
    }
  }
  return completion.end();
}

struct Row {
  std::vector<Event> events;
  ResponseEnd end;
};

// Guards against half of a response that passes for the whole because the reset
// of its connection was reported to the write of the request only.
TEST_CASE("the order of what both halves of a connection report decides") {
  using enum Event;
  const std::vector<Row> rows = {
      {{}, ResponseEnd::kUndecided},
      {{kWritten}, ResponseEnd::kUndecided},
      {{kWriteFailed}, ResponseEnd::kUndecided},
      {{kWritten, kEnd}, ResponseEnd::kWhole},
      {{kEnd}, ResponseEnd::kUndecided},
      {{kEnd, kWritten}, ResponseEnd::kWhole},
      {{kEnd, kWriteFailed}, ResponseEnd::kTruncated},
      {{kWriteFailed, kEnd}, ResponseEnd::kTruncated},
      {{kEnd, kReadFailed, kWritten}, ResponseEnd::kTruncated},
      {{kWritten, kReadFailed}, ResponseEnd::kTruncated},
      {{kReadFailed, kWritten}, ResponseEnd::kTruncated},
      {{kWritten, kEarlyEnd}, ResponseEnd::kTruncated},
      {{kEarlyEnd, kWritten}, ResponseEnd::kTruncated},
      // A length or last chunk makes a response whole, whatever becomes of the
      // rest of the request.
      {{kFramingComplete}, ResponseEnd::kWhole},
      {{kWriteFailed, kFramingComplete}, ResponseEnd::kWhole},
      {{kFramingComplete, kWriteFailed}, ResponseEnd::kWhole},
      {{kFramingComplete, kReadFailed}, ResponseEnd::kWhole},
      {{kFramingComplete, kEarlyEnd}, ResponseEnd::kWhole},
      {{kReadFailed, kFramingComplete}, ResponseEnd::kTruncated},
  };
  for (std::size_t it = 0; it < rows.size(); ++it) {
    CAPTURE(it);
    CHECK(EndAfter(rows[it].events) == rows[it].end);
  }
}

}  // namespace
}  // namespace flamingogauge
