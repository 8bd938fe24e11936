#include "plugins/scheduler/scheduler_settings.h"

#include <gflags/gflags.h>

DEFINE_uint64(scheduler_ring_capacity,
              16384,
              "messages that may wait for the scheduler thread");
DEFINE_uint64(scheduler_tick_ms,
              20,
              "how often queues are examined without an event");
DEFINE_uint64(scheduler_permit_ttl_ms,
              2000,
              "how long a permit may wait before it is used");
DEFINE_uint64(scheduler_permit_margin_ms,
              1000,
              "added before the slot of a silent permit is freed");
DEFINE_int32(scheduler_limit_slot,
             -1,
             "this host's position among all host slots, or -1");

namespace flamingogauge {
namespace {

constexpr std::int32_t kLargestSlot = 9999;

Result<void> CheckRange(const char* flag,
                        std::uint64_t value,
                        std::uint64_t low,
                        std::uint64_t high) {
  if (value < low || value > high) {
    return Error{.code = ErrorCode::kInvalidArgument,
                 .step = "check settings",
                 .message = std::string("--") + flag + "=" +
                            std::to_string(value) + " is not between " +
                            std::to_string(low) + " and " +
                            std::to_string(high)};
  }
  return boost::outcome_v2::success();
}

std::uint64_t Count(std::chrono::milliseconds time) {
  return static_cast<std::uint64_t>(time.count());
}

}  // namespace

Result<void> CheckSchedulerSettings(const SchedulerSettings& settings) {
  struct Row {
    const char* flag;
    std::uint64_t value;
    std::uint64_t low;
    std::uint64_t high;
  };
  for (const Row& it :
       {Row{"scheduler_ring_capacity", settings.ring_capacity, 16, 1U << 20U},
        Row{"scheduler_tick_ms", Count(settings.tick), 1, 1000},
        Row{"scheduler_permit_ttl_ms", Count(settings.permit_time_to_live), 100,
            60000},
        Row{"scheduler_permit_margin_ms", Count(settings.permit_margin), 10,
            60000}}) {
    Result<void> checked = CheckRange(it.flag, it.value, it.low, it.high);
    if (!checked) {
      return checked;
    }
  }
  if (settings.limit_slot < -1 || settings.limit_slot > kLargestSlot) {
    return Error{
        .code = ErrorCode::kInvalidArgument,
        .step = "check settings",
        .message =
            "--scheduler_limit_slot=" + std::to_string(settings.limit_slot) +
            " is not between -1 and " + std::to_string(kLargestSlot)};
  }
  return boost::outcome_v2::success();
}

SchedulerSettings SchedulerSettingsFromFlags() {
  SchedulerSettings settings;
  settings.ring_capacity = FLAGS_scheduler_ring_capacity;
  settings.tick = std::chrono::milliseconds(FLAGS_scheduler_tick_ms);
  settings.permit_time_to_live =
      std::chrono::milliseconds(FLAGS_scheduler_permit_ttl_ms);
  settings.permit_margin =
      std::chrono::milliseconds(FLAGS_scheduler_permit_margin_ms);
  settings.limit_slot = FLAGS_scheduler_limit_slot;
  return settings;
}

}  // namespace flamingogauge
