#include "plugins/requests/request_inbox.h"

#include <utility>

namespace flamingogauge {

bool RequestInbox::TrySubmit(RequestId id, SubmitMessage message) {
  return ring_.Size() < submit_limit_ &&
         ring_.TryPush({.id = id, .content = std::move(message)});
}

bool RequestInbox::TryPost(RequestId id, RequestEvent event) {
  return ring_.TryPush({.id = id, .content = std::move(event)});
}

void RequestInbox::Post(RequestId id, RequestEvent event) {
  if (ring_.TryPush({.id = id, .content = event})) {
    return;
  }
  std::lock_guard<std::mutex> lock(overflow_mutex_);
  overflow_.push_back({.id = id, .content = std::move(event)});
  has_overflow_ = true;
}

std::optional<RequestMessage> RequestInbox::Take(MonotonicTime deadline) {
  // Empties the ring first, on the assumption that overflow messages are newer
  // than the messages of the same request in the ring.
  std::optional<RequestMessage> message = ring_.TryPop();
  if (!message && has_overflow_) {
    message = TakeOverflow();
  }
  return message ? std::move(message) : ring_.PopUntil(deadline);
}

std::optional<RequestMessage> RequestInbox::TakeOverflow() {
  std::lock_guard<std::mutex> lock(overflow_mutex_);
  if (overflow_.empty()) {
    return std::nullopt;
  }
  RequestMessage message = std::move(overflow_.front());
  overflow_.pop_front();
  has_overflow_ = !overflow_.empty();
  return message;
}

}  // namespace flamingogauge
