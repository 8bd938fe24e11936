#ifndef FLAMINGOGAUGE_PLUGINS_SCHEDULER_SCHEDULER_SETTINGS_H_
#define FLAMINGOGAUGE_PLUGINS_SCHEDULER_SCHEDULER_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "libs/kernel/error.h"
#include "libs/model/ids.h"

namespace flamingogauge {

struct SchedulerSettings {
  // This host and its data centre, used if no membership service is registered.
  // An empty data centre selects the upstreams of all data centres.
  HostId host = "local";
  DataCentreId data_centre;
  // Maximum number of messages queued for the scheduler thread.
  std::size_t ring_capacity = 16384;
  // Interval at which queues are processed without an event.
  std::chrono::milliseconds tick{20};
  std::chrono::milliseconds permit_time_to_live{2000};
  std::chrono::milliseconds permit_margin{1000};
  std::uint64_t seed = 1;
  // This host's index among all host slots of the document, or -1. The
  // remainder of a concurrency limit is divided among hosts with an index.
  std::int32_t limit_slot = -1;
};

// Returns an error that names the flag, the value and the allowed range.
Result<void> CheckSchedulerSettings(const SchedulerSettings& settings);

SchedulerSettings SchedulerSettingsFromFlags();

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_SCHEDULER_SCHEDULER_SETTINGS_H_
