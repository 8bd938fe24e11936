#ifndef FLAMINGOGAUGE_LIBS_KERNEL_TIME_H_
#define FLAMINGOGAUGE_LIBS_KERNEL_TIME_H_

#include <chrono>

namespace flamingogauge {

// A point on the host's monotonic clock. Points of different hosts are never
// compared with each other.
using MonotonicTime = std::chrono::steady_clock::time_point;

// The resolution in which decision libraries compute.
using Duration = std::chrono::steady_clock::duration;

inline double ToSeconds(std::chrono::duration<double> time) {
  return time.count();
}

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_KERNEL_TIME_H_
