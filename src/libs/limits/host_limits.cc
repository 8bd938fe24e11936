#include "libs/limits/host_limits.h"

#include <gflags/gflags.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>

#include "libs/kernel/setting_range.h"

DEFINE_uint64(host_memory_mb,
              0,
              "memory that this process may use, in MB of 1048576 bytes; 0: "
              "that of the machine");
DEFINE_uint64(host_max_descriptors,
              0,
              "descriptors that this process may open, 200 of them for files; "
              "0: the process's limit");

namespace flamingogauge {
namespace {

constexpr std::size_t kBytesPerMb = 1U << 20U;
constexpr std::size_t kFileDescriptors = 200;
constexpr std::size_t kMinSockets = 32;
constexpr std::size_t kMinConnections = 8;
// Above what a host can hold; bounds arithmetic where the limit is infinite.
constexpr std::size_t kMaxDescriptors = 1U << 20U;

std::size_t MachineMemory() {
  return static_cast<std::size_t>(::sysconf(_SC_PHYS_PAGES)) *
         static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

std::size_t ProcessDescriptors() {
  rlimit limit{};
  return ::getrlimit(RLIMIT_NOFILE, &limit) != 0
             ? kFileDescriptors
             : std::min<std::size_t>(limit.rlim_cur, kMaxDescriptors);
}

}  // namespace

std::size_t HostLimits::MaxCallerConnections() const {
  return std::max(kMinConnections, sockets / 4 * 3);
}

HostLimits HostLimitsFromFlags() {
  const std::size_t descriptors = FLAGS_host_max_descriptors != 0
                                      ? FLAGS_host_max_descriptors
                                      : ProcessDescriptors();
  return {.memory_bytes = FLAGS_host_memory_mb != 0
                              ? FLAGS_host_memory_mb * kBytesPerMb
                              : MachineMemory(),
          .sockets = descriptors > kFileDescriptors + kMinSockets
                         ? descriptors - kFileDescriptors
                         : kMinSockets};
}

Result<void> CheckHostLimitFlags() {
  // 0 stands for the machine's own limit.
  return CheckSettingRanges(
      {RangeOf("host_memory_mb",
               FLAGS_host_memory_mb == 0 ? 32 : FLAGS_host_memory_mb, 32,
               1U << 24U),
       RangeOf(
           "host_max_descriptors",
           FLAGS_host_max_descriptors == 0 ? 256 : FLAGS_host_max_descriptors,
           256, kMaxDescriptors)});
}

}  // namespace flamingogauge
