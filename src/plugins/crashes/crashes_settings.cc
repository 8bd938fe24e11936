#include "plugins/crashes/crashes_settings.h"

#include <cstdint>
#include <string>

namespace flamingogauge {
namespace {

struct Range {
  const char* flag;
  std::int64_t value;
  std::int64_t low;
  std::int64_t high;
};

}  // namespace

Result<void> CheckCrashesSettings(const CrashesSettings& settings) {
  // The list is told in one message of at most 1 MB, 72 bytes a record.
  const Range ranges[] = {
      {"quarantine_time_ms", settings.quarantine_time.count(), 1000, 604800000},
      {"quarantine_exchange_ms", settings.exchange_interval.count(), 100,
       3600000},
      {"quarantine_max_records",
       static_cast<std::int64_t>(settings.max_records), 16, 8192},
  };
  for (const Range& it : ranges) {
    if (it.value < it.low || it.value > it.high) {
      return Error{.code = ErrorCode::kInvalidArgument,
                   .step = "check settings",
                   .peer = std::string("--") + it.flag,
                   .message = "value " + std::to_string(it.value) +
                              "; allowed: " + std::to_string(it.low) + " to " +
                              std::to_string(it.high)};
    }
  }
  return boost::outcome_v2::success();
}

}  // namespace flamingogauge
