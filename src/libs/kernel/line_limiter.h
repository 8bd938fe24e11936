#ifndef FLAMINGOGAUGE_LIBS_KERNEL_LINE_LIMITER_H_
#define FLAMINGOGAUGE_LIBS_KERNEL_LINE_LIMITER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>

#include "libs/kernel/time.h"

namespace flamingogauge {

// Bounds how many log lines of one kind are written, so that many of them do
// not displace those of other kinds.
class LineLimiter {
 public:
  explicit LineLimiter(int max_per_second) : max_per_second_(max_per_second) {}

  // Returns nothing if the line is to be left out; otherwise the number of
  // lines left out since the last one that was written.
  std::optional<std::int64_t> Allow(MonotonicTime now) {
    if (now - second_began_ >= std::chrono::seconds(1)) {
      second_began_ = now;
      written_ = 0;
    }
    if (written_ >= max_per_second_) {
      ++left_out_;
      return std::nullopt;
    }
    ++written_;
    return std::exchange(left_out_, 0);
  }

 private:
  const int max_per_second_;
  MonotonicTime second_began_;
  int written_ = 0;
  std::int64_t left_out_ = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_KERNEL_LINE_LIMITER_H_
