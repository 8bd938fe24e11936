#include "plugins/directory/directory_settings.h"

#include <gflags/gflags.h>

#include "libs/kernel/setting_range.h"

DEFINE_string(host_name, "", "name of this host, unique in the deployment");
DEFINE_string(host_data_centre, "", "data centre of this host");
DEFINE_string(host_report_address,
              "",
              "ip:port at which this host exchanges load reports with others "
              "over UDP");
DEFINE_uint32(directory_upstreams_watch_wait_ms,
              2500,
              "wait time of a watch of the list of upstreams, in ms");
DEFINE_uint32(directory_hosts_interval_ms,
              3000,
              "interval between reads of the list of hosts, in ms");

namespace flamingogauge {
namespace {

constexpr double kMinWaitMs = 100;
constexpr double kMaxWaitMs = 30000;

}  // namespace

DirectorySettings DirectorySettingsFromFlags() {
  using std::chrono::milliseconds;
  return {.host = {.name = FLAGS_host_name,
                   .report_address = FLAGS_host_report_address,
                   .data_centre = FLAGS_host_data_centre},
          .routing_watch_wait = ChangeLimitsFromFlags().watch_wait(),
          .upstreams_watch_wait =
              milliseconds(FLAGS_directory_upstreams_watch_wait_ms),
          .hosts_interval = milliseconds(FLAGS_directory_hosts_interval_ms)};
}

Result<void> CheckDirectorySettings(const DirectorySettings& settings) {
  if (settings.host.name.empty() || settings.host.report_address.empty()) {
    return Error{
        .code = ErrorCode::kInvalidArgument,
        .step = "check settings",
        .message = "--host_name and --host_report_address are required"};
  }
  return CheckSettingRanges(
      {RangeOf("change_apply_limit_ms: the resulting watch wait in ms",
               settings.routing_watch_wait, kMinWaitMs, kMaxWaitMs),
       RangeOf("directory_upstreams_watch_wait_ms",
               settings.upstreams_watch_wait, kMinWaitMs, kMaxWaitMs),
       RangeOf("directory_hosts_interval_ms", settings.hosts_interval,
               kMinWaitMs, kMaxWaitMs)});
}

}  // namespace flamingogauge
