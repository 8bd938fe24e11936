#include "plugins/callers/callers_settings.h"

#include <gflags/gflags.h>

#include <algorithm>

#include "libs/kernel/setting_range.h"
#include "libs/limits/host_limits.h"

namespace {

const flamingogauge::HttpServerSettings kDefaults;

}  // namespace

DEFINE_string(callers_address,
              "127.0.0.1:8080",
              "listen address for callers, ip:port; port 0 lets the kernel "
              "choose");
DEFINE_uint32(callers_threads, 2, "threads that serve callers");
DEFINE_uint64(callers_max_request_bytes,
              kDefaults.max_request_bytes,
              "maximum size of a request, head and body");
DEFINE_uint64(callers_max_connections,
              kDefaults.max_connections,
              "maximum number of concurrent connections");
DEFINE_uint64(callers_max_outstanding_bytes,
              kDefaults.max_outstanding_bytes,
              "unread bytes above which a caller is disconnected");
DEFINE_double(
    callers_held_memory_share,
    0.25,
    "share of --host_memory_mb that may be held for callers: requests "
    "and unread responses");
DEFINE_uint32(
    callers_head_time_limit_ms,
    kDefaults.head_time_limit.count(),
    "maximum time from the first byte of a request to the end of its head");
DEFINE_uint32(callers_request_time_limit_ms,
              kDefaults.request_time_limit.count(),
              "maximum time from the first byte of a request to its last");
DEFINE_uint32(callers_idle_time_limit_ms,
              kDefaults.idle_time_limit.count(),
              "maximum time that a connection stays open without a request");
DEFINE_uint32(callers_stall_time_limit_ms,
              kDefaults.stall_time_limit.count(),
              "maximum time without a caller reading any byte of a response");

namespace flamingogauge {
CallersSettings CallersSettingsFromFlags() {
  using std::chrono::milliseconds;
  HttpServerSettings server;
  server.address = FLAGS_callers_address;
  server.threads = static_cast<int>(FLAGS_callers_threads);
  server.max_request_bytes = FLAGS_callers_max_request_bytes;
  const HostLimits limits = HostLimitsFromFlags();
  server.max_connections = std::min<std::size_t>(
      FLAGS_callers_max_connections,
      std::max<std::size_t>(1, limits.MaxCallerConnections() / 2));
  server.max_held_bytes =
      static_cast<std::size_t>(static_cast<double>(limits.memory_bytes) *
                               FLAGS_callers_held_memory_share);
  server.max_outstanding_bytes = FLAGS_callers_max_outstanding_bytes;
  server.head_time_limit = milliseconds(FLAGS_callers_head_time_limit_ms);
  server.request_time_limit = milliseconds(FLAGS_callers_request_time_limit_ms);
  server.idle_time_limit = milliseconds(FLAGS_callers_idle_time_limit_ms);
  server.stall_time_limit = milliseconds(FLAGS_callers_stall_time_limit_ms);
  return {.server = server};
}

Result<void> CheckSettings(const CallersSettings& settings) {
  const HttpServerSettings& server = settings.server;
  constexpr double kHour = 3600000;
  constexpr double kGibibyte = 1U << 30U;
  Result<void> limits = CheckHostLimitFlags();
  if (!limits) {
    return limits;
  }
  Result<void> checked = CheckSettingRanges({
      RangeOf("callers_held_memory_share", FLAGS_callers_held_memory_share,
              0.05, 0.8),
      RangeOf("callers_threads", server.threads, 1, 64),
      RangeOf("callers_max_request_bytes", server.max_request_bytes, 1024,
              kGibibyte),
      RangeOf("callers_max_connections", FLAGS_callers_max_connections, 1,
              1U << 20U),
      RangeOf("callers_max_outstanding_bytes", server.max_outstanding_bytes,
              static_cast<double>(server.resume_bytes), kGibibyte),
      RangeOf("callers_head_time_limit_ms", server.head_time_limit, 1, kHour),
      RangeOf("callers_request_time_limit_ms", server.request_time_limit, 1,
              kHour),
      RangeOf("callers_idle_time_limit_ms", server.idle_time_limit, 1, kHour),
      RangeOf("callers_stall_time_limit_ms", server.stall_time_limit, 1, kHour),
  });
  return checked ? CheckListenAddress("callers_address", server.address)
                 : checked;
}

}  // namespace flamingogauge
