#include <gflags/gflags.h>

#include "plugins/configuration/configuration_settings.h"

DEFINE_string(initial_document,
              "",
              "file with a document that becomes the first revision if the "
              "store has none");
DEFINE_uint32(configuration_edit_time_limit_ms,
              10000,
              "time limit of an edit, 100 to 60000 ms");
DEFINE_uint32(configuration_boot_round_ms,
              3000,
              "how long a starting host without the store waits for its peers, "
              "100 to 60000 ms");
DEFINE_uint32(configuration_watch_ms,
              20000,
              "duration of one watch of the manifest, 100 to 60000 ms");

namespace flamingogauge {
namespace {

Result<void> CheckTimeLimit(const char* flag, std::chrono::milliseconds value) {
  if (value >= std::chrono::milliseconds(100) &&
      value <= std::chrono::milliseconds(60000)) {
    return boost::outcome_v2::success();
  }
  return Error{.code = ErrorCode::kInvalidArgument,
               .step = "check settings",
               .peer = "",
               .message = std::string("--") + flag + "=" +
                          std::to_string(value.count()) +
                          " is outside 100 to 60000"};
}

}  // namespace

ConfigurationSettings ConfigurationSettingsFromFlags() {
  using std::chrono::milliseconds;
  return {
      .initial_document = FLAGS_initial_document,
      .edit_time_limit = milliseconds(FLAGS_configuration_edit_time_limit_ms),
      .boot_round_time_limit = milliseconds(FLAGS_configuration_boot_round_ms),
      .watch_time_limit = milliseconds(FLAGS_configuration_watch_ms)};
}

Result<void> CheckConfigurationSettings(const ConfigurationSettings& settings) {
  Result<void> checked = CheckTimeLimit("configuration_edit_time_limit_ms",
                                        settings.edit_time_limit);
  if (checked) {
    checked = CheckTimeLimit("configuration_boot_round_ms",
                             settings.boot_round_time_limit);
  }
  if (checked) {
    checked =
        CheckTimeLimit("configuration_watch_ms", settings.watch_time_limit);
  }
  return checked;
}

}  // namespace flamingogauge
