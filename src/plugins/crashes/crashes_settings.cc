#include "plugins/crashes/crashes_settings.h"

#include "libs/kernel/setting_range.h"

namespace flamingogauge {
Result<void> CheckCrashesSettings(const CrashesSettings& settings) {
  // The whole list is sent in one message of at most 1 MB, at 72 bytes a
  // record.
  return CheckSettingRanges({
      RangeOf("quarantine_time_ms", settings.quarantine_time, 1000, 604800000),
      RangeOf("quarantine_exchange_ms", settings.exchange_interval, 100,
              3600000),
      RangeOf("quarantine_max_records", settings.max_records, 16, 8192),
  });
}

}  // namespace flamingogauge
