#include "plugins/upstreams/upstreams_settings.h"

#include <gflags/gflags.h>

#include "libs/kernel/setting_range.h"

DEFINE_uint64(upstreams_max_calls, 4096, "calls to upstreams at the same time");
DEFINE_int32(upstreams_max_resumes,
             4,
             "how often a broken engine stream is resumed");
DEFINE_int32(upstreams_resume_backoff_ms,
             20,
             "wait before the first resume, in milliseconds");
DEFINE_uint64(upstreams_max_idle_connections,
              512,
              "connections to upstreams kept open for later calls");
DEFINE_int32(upstreams_max_idle_time_s,
             30,
             "idle time after which a connection is not used again, in s");
DEFINE_int32(upstreams_poll_period_ms,
             1000,
             "time between polls of an engine's load, in milliseconds");
DEFINE_int32(upstreams_poll_time_limit_ms,
             1000,
             "time limit of a poll of an engine, in milliseconds");
DEFINE_uint64(upstreams_max_polls_per_second,
              100,
              "polls of all engines together, a second");

namespace flamingogauge {
Result<void> CheckUpstreamsSettings(const UpstreamsSettings& settings) {
  return CheckSettingRanges({
      RangeOf("upstreams_max_calls", settings.max_calls, 1, 65536),
      RangeOf("upstreams_max_resumes", settings.max_resumes, 0, 16),
      RangeOf("upstreams_resume_backoff_ms", settings.resume_backoff, 1, 10000),
      RangeOf("upstreams_max_idle_connections", settings.max_idle_connections,
              1, 16384),
      RangeOf("upstreams_max_idle_time_s", settings.max_idle_time, 1, 3600),
      RangeOf("upstreams_poll_period_ms", settings.poll_period, 10, 600000),
      RangeOf("upstreams_poll_time_limit_ms", settings.poll_time_limit, 10,
              60000),
      RangeOf("upstreams_max_polls_per_second", settings.max_polls_per_second,
              1, 10000),
  });
}

UpstreamsSettings UpstreamsSettingsFromFlags() {
  UpstreamsSettings settings;
  settings.max_calls = FLAGS_upstreams_max_calls;
  settings.max_resumes = FLAGS_upstreams_max_resumes;
  settings.resume_backoff =
      std::chrono::milliseconds(FLAGS_upstreams_resume_backoff_ms);
  settings.max_idle_connections = FLAGS_upstreams_max_idle_connections;
  settings.max_idle_time =
      std::chrono::seconds(FLAGS_upstreams_max_idle_time_s);
  settings.poll_period =
      std::chrono::milliseconds(FLAGS_upstreams_poll_period_ms);
  settings.poll_time_limit =
      std::chrono::milliseconds(FLAGS_upstreams_poll_time_limit_ms);
  settings.max_polls_per_second = FLAGS_upstreams_max_polls_per_second;
  return settings;
}

}  // namespace flamingogauge
