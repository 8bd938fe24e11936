#ifndef FLAMINGOGAUGE_PLUGINS_UPSTREAMS_UPSTREAMS_SETTINGS_H_
#define FLAMINGOGAUGE_PLUGINS_UPSTREAMS_UPSTREAMS_SETTINGS_H_

#include <chrono>
#include <cstddef>

#include "libs/kernel/error.h"
#include "libs/model/ids.h"

namespace flamingogauge {

struct UpstreamsSettings {
  // Limit of concurrent calls; further ones fail with kResourceExhausted.
  std::size_t max_calls = 4096;
  // Limit of resumes of one stream.
  int max_resumes = 4;
  // The delay before the first resume; doubles with each further resume.
  std::chrono::milliseconds resume_backoff{20};
  // Size of the pool of idle connections.
  std::size_t max_idle_connections = 512;
  // Connections that have been idle for longer are not reused, because a
  // device on the network path may have dropped their state.
  std::chrono::seconds max_idle_time{30};
  // Nominal time between two polls of one engine.
  std::chrono::milliseconds poll_period{1000};
  std::chrono::milliseconds poll_time_limit{1000};
  // With many engines the poll period grows to stay near this total rate.
  std::size_t max_polls_per_second = 100;
  // Only engines of this data centre are polled; empty means all.
  DataCentreId data_centre;
  // Uses EchoUpstreamClient instead of calling upstreams.
  bool echo = false;
};

// Checks the ranges. The error names the flag, its value and the valid range.
Result<void> CheckUpstreamsSettings(const UpstreamsSettings& settings);

// Returns the settings given by the --upstreams_* flags.
UpstreamsSettings UpstreamsSettingsFromFlags();

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_UPSTREAMS_UPSTREAMS_SETTINGS_H_
