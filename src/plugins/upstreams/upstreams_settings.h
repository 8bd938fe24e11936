#ifndef FLAMINGOGAUGE_PLUGINS_UPSTREAMS_UPSTREAMS_SETTINGS_H_
#define FLAMINGOGAUGE_PLUGINS_UPSTREAMS_UPSTREAMS_SETTINGS_H_

#include <chrono>
#include <cstddef>

#include "libs/kernel/error.h"
#include "libs/model/ids.h"

namespace flamingogauge {

struct UpstreamsSettings {
  // Calls at the same time; further ones fail with kResourceExhausted.
  std::size_t max_calls = 4096;
  // How often a broken stream is resumed, over its whole life.
  int max_resumes = 4;
  // The wait before the first resume; it doubles with each further one.
  std::chrono::milliseconds resume_backoff{20};
  // Connections kept open for later calls.
  std::size_t max_idle_connections = 512;
  // An idle connection that is older is not used again, because a device on
  // the way may have forgotten it.
  std::chrono::seconds max_idle_time{30};
  // The shortest time between two polls of one engine.
  std::chrono::milliseconds poll_period{1000};
  std::chrono::milliseconds poll_time_limit{1000};
  // With many engines the period grows so that this rate is not exceeded.
  std::size_t max_polls_per_second = 100;
  // Only engines of this data centre are polled; empty means all.
  DataCentreId data_centre;
  // Answers in this process instead of calling upstreams.
  bool echo = false;
};

// Checks the ranges. The error names the flag, the value and what is allowed.
Result<void> CheckUpstreamsSettings(const UpstreamsSettings& settings);

// Returns the settings that the flags --upstreams_* state.
UpstreamsSettings UpstreamsSettingsFromFlags();

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_UPSTREAMS_UPSTREAMS_SETTINGS_H_
