#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_DELIVERY_PROGRESS_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_DELIVERY_PROGRESS_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "libs/kernel/time.h"
#include "plugins/gateway/receiver_watch.h"

namespace flamingogauge {

// Follows how a caller takes what is written to its connection, also after the
// kernel has taken all of it. Tells a caller that pauses, whose connection has
// to be kept, from one that is gone.
class DeliveryProgress {
 public:
  // `limit` is the kernel's limit on unacknowledged bytes.
  explicit DeliveryProgress(std::chrono::milliseconds limit) : watch_(limit) {}

  // The first bytes of a response wait to be written.
  void OnWaiting(MonotonicTime now) { last_taken_at_ = now; }
  // The kernel has taken bytes, so that some before them have been read, or
  // none were waiting.
  void OnWritten(std::size_t bytes, MonotonicTime now) {
    written_bytes_ += bytes;
    last_taken_at_ = now;
  }
  // Returns whether the kernel's limit has to apply, given a sample of the
  // kernel's send queue. Samples are to be taken several times within the
  // limit.
  bool OnSample(const SendQueue& queue, MonotonicTime now) {
    kernel_bytes_ = static_cast<std::size_t>(queue.unsent_bytes);
    const std::uint64_t held = kernel_bytes_ + queue.in_flight_bytes;
    const std::uint64_t taken = written_bytes_ - std::min(written_bytes_, held);
    if (taken > taken_bytes_) {
      taken_bytes_ = taken;
      last_taken_at_ = now;
    }
    return watch_.LimitApplies(queue, now);
  }

  // When the caller has last taken bytes, or a response began to wait.
  MonotonicTime last_taken_at() const { return last_taken_at_; }
  // What the kernel had not sent once at the last sample, in bytes.
  std::size_t kernel_bytes() const { return kernel_bytes_; }

 private:
  ReceiverWatch watch_;
  std::uint64_t written_bytes_ = 0;
  std::uint64_t taken_bytes_ = 0;
  std::size_t kernel_bytes_ = 0;
  MonotonicTime last_taken_at_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_DELIVERY_PROGRESS_H_
