#include "libs/kernel/boot_clock.h"

#include <ctime>

namespace flamingogauge {

MonotonicTime BootTimeNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return MonotonicTime(std::chrono::seconds(now.tv_sec) +
                       std::chrono::nanoseconds(now.tv_nsec));
}

}  // namespace flamingogauge
