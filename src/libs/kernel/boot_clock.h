#ifndef FLAMINGOGAUGE_LIBS_KERNEL_BOOT_CLOCK_H_
#define FLAMINGOGAUGE_LIBS_KERNEL_BOOT_CLOCK_H_

#include "libs/kernel/time.h"

namespace flamingogauge {

// Reads the clock that goes on while the host is suspended (CLOCK_BOOTTIME).
// Ages and deadlines are taken from it, so that they have passed when a
// suspended host wakes up.
MonotonicTime BootTimeNow();

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_KERNEL_BOOT_CLOCK_H_
