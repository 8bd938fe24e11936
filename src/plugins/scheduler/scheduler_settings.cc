#include "plugins/scheduler/scheduler_settings.h"

#include <gflags/gflags.h>

#include <cstdint>

#include "libs/kernel/setting_range.h"

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

constexpr std::int32_t kMaxSlotIndex = 9999;

}  // namespace

Result<void> CheckSchedulerSettings(const SchedulerSettings& settings) {
  return CheckSettingRanges({
      RangeOf("scheduler_ring_capacity", settings.ring_capacity, 16, 1U << 20U),
      RangeOf("scheduler_tick_ms", settings.tick, 1, 1000),
      RangeOf("scheduler_permit_ttl_ms", settings.permit_time_to_live, 100,
              60000),
      RangeOf("scheduler_permit_margin_ms", settings.permit_margin, 10, 60000),
      RangeOf("scheduler_limit_slot", settings.limit_slot, -1, kMaxSlotIndex),
  });
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
