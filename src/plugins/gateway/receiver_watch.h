#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_RECEIVER_WATCH_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_RECEIVER_WATCH_H_

#include <algorithm>
#include <chrono>

#include "libs/kernel/time.h"

namespace flamingogauge {

// What the kernel has still to send on a connection.
struct SendQueue {
  // Bytes that have not been sent once.
  int unsent_bytes = 0;
  // Bytes that have been sent and not acknowledged.
  int in_flight_bytes = 0;
  // Probes of a closed receive window that the peer has not acknowledged.
  int unanswered_probes = 0;
};

// Tells a peer that does not read from one that is gone. The kernel's limit on
// unacknowledged bytes also ends a connection whose peer keeps its receive
// window closed, although that peer acknowledges each probe of the window: an
// upstream may respond, or queue the request, long before it reads the body.
class ReceiverWatch {
 public:
  // `limit` is the kernel's limit.
  explicit ReceiverWatch(std::chrono::milliseconds limit) : limit_(limit) {}

  // Returns whether the kernel's limit has to apply, given a sample of the send
  // queue. Samples are to be taken several times within the limit.
  bool LimitApplies(const SendQueue& queue, MonotonicTime now) {
    const bool window_is_closed =
        queue.unsent_bytes > 0 && queue.in_flight_bytes == 0;
    if (!window_is_closed || queue.unanswered_probes == 0) {
      silent_since_ = MonotonicTime::max();
      return !window_is_closed;
    }
    // A single sample may meet a probe whose acknowledgement is on its way.
    silent_since_ = std::min(silent_since_, now);
    return now - silent_since_ >= limit_;
  }

 private:
  const std::chrono::milliseconds limit_;
  // Since when probes have not been answered; the maximum if they are.
  MonotonicTime silent_since_ = MonotonicTime::max();
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_RECEIVER_WATCH_H_
