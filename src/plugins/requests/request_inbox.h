#ifndef FLAMINGOGAUGE_PLUGINS_REQUESTS_REQUEST_INBOX_H_
#define FLAMINGOGAUGE_PLUGINS_REQUESTS_REQUEST_INBOX_H_

#include <atomic>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <variant>

#include "libs/kernel/bounded_ring.h"
#include "libs/requests/request_events.h"
#include "libs/services/request_intake.h"

namespace flamingogauge {

struct SubmitMessage {
  CallerRequest request;
  std::shared_ptr<CallerSink> sink;
};

// What reaches the requests thread.
struct RequestMessage {
  RequestId id;
  std::variant<SubmitMessage, RequestEvent> content;
};

// The way to the requests thread: one bounded ring. New requests may use half
// of it, parts of answers all of it. Messages that must not be lost (answers
// to claims and permits, ends of calls: a few for each request) go to a second
// queue when the ring is full.
class RequestInbox {
 public:
  explicit RequestInbox(std::size_t capacity)
      : submit_limit_(capacity / 2), ring_(capacity) {}

  // Returns false when there is no room for a new request.
  [[nodiscard]] bool TrySubmit(RequestId id, SubmitMessage message);

  // Returns false when there is no room.
  [[nodiscard]] bool TryPost(RequestId id, RequestEvent event);

  // Always succeeds.
  void Post(RequestId id, RequestEvent event);

  // Takes the next message, waiting until `deadline` for one.
  std::optional<RequestMessage> Take(MonotonicTime deadline);

  void Close() { ring_.Close(); }
  bool IsClosed() const { return ring_.IsClosed(); }
  std::size_t Size() const { return ring_.Size(); }

 private:
  std::optional<RequestMessage> TakeOverflow();

  const std::size_t submit_limit_;
  BoundedRing<RequestMessage> ring_;
  std::mutex overflow_mutex_;
  std::deque<RequestMessage> overflow_;
  std::atomic<bool> has_overflow_ = false;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_REQUESTS_REQUEST_INBOX_H_
