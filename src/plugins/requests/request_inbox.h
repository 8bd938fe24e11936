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

// A message to the requests thread.
struct RequestMessage {
  RequestId id;
  std::variant<SubmitMessage, RequestEvent> content;
};

// Message queue of the requests thread, a bounded ring. New requests may fill
// half of it, response data all of it. Messages that must not be lost (results
// of claims and permits, ends of calls: a few per request) go to an overflow
// queue when the ring is full.
class RequestInbox {
 public:
  explicit RequestInbox(std::size_t capacity)
      : submit_limit_(capacity / 2), ring_(capacity) {}

  // Returns false if the share of the ring for new requests is full.
  [[nodiscard]] bool TrySubmit(RequestId id, SubmitMessage message);

  // Returns false if the ring is full.
  [[nodiscard]] bool TryPost(RequestId id, RequestEvent event);

  // Never fails: uses the overflow queue if the ring is full.
  void Post(RequestId id, RequestEvent event);

  // Returns the next message, waiting for one until `deadline`.
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
