#include <gflags/gflags.h>

#include <chrono>
#include <cstddef>

#include "plugins/crashes/crashes_settings.h"

// Defaults are those of CrashesSettings.
DEFINE_int64(quarantine_time_ms,
             3600000,
             "how long a quarantine lasts until the first document");
DEFINE_int64(quarantine_exchange_ms,
             10000,
             "time between comparisons of the quarantine list with a peer");
DEFINE_uint64(quarantine_max_records,
              4096,
              "largest number of quarantine decisions that are kept");

namespace flamingogauge {

CrashesSettings CrashesSettingsFromFlags() {
  return {
      .quarantine_time = std::chrono::milliseconds(FLAGS_quarantine_time_ms),
      .exchange_interval =
          std::chrono::milliseconds(FLAGS_quarantine_exchange_ms),
      .max_records = static_cast<std::size_t>(FLAGS_quarantine_max_records)};
}

}  // namespace flamingogauge
