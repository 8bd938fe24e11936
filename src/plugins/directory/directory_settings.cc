#include "plugins/directory/directory_settings.h"

#include <gflags/gflags.h>

#include "libs/fleet/rollout_limits.h"
#include "libs/kernel/setting_range.h"

DEFINE_string(host_name, "", "name of this host, unique in the deployment");
DEFINE_string(host_data_centre, "", "data centre of this host");
DEFINE_string(host_report_address,
              "",
              "ip:port at which this host exchanges load reports with others "
              "over UDP");
DEFINE_string(host_relay_address,
              "",
              "ip:port at which other hosts ask this one for what it has read "
              "from the store; empty: each host reads the store itself");
DEFINE_double(
    host_capacity,
    0,
    "share of a processor core that this host may use; the hosts with "
    "the largest share do the work that one host does for others");
DEFINE_bool(directory_first_start,
            false,
            "all hosts start at the same time: register before reading the "
            "store");
DEFINE_uint32(directory_upstreams_watch_wait_ms,
              2500,
              "wait time of a watch of the list of upstreams, in ms");
DEFINE_uint32(
    directory_rollouts_watch_wait_ms,
    5000,
    "wait time of a watch of the orders to roll out a version, in ms");
DEFINE_uint32(directory_hosts_interval_ms,
              3000,
              "interval between reads of the list of hosts, in ms");

namespace flamingogauge {
namespace {

constexpr double kMinWaitMs = 100;
constexpr double kMaxWaitMs = 30000;
constexpr double kMaxCapacity = 10000;

}  // namespace

DirectorySettings DirectorySettingsFromFlags() {
  using std::chrono::milliseconds;
  const ChangeLimits changes = ChangeLimitsFromFlags();
  return {.host = {.name = FLAGS_host_name,
                   .report_address = FLAGS_host_report_address,
                   .data_centre = FLAGS_host_data_centre,
                   .relay_address = FLAGS_host_relay_address,
                   .capacity = FLAGS_host_capacity},
          .first_start = FLAGS_directory_first_start,
          .routing_watch_wait = changes.watch_wait(),
          .relay_wait = changes.relay_wait(),
          .normal_age = changes.normal_age(),
          .upstreams_watch_wait =
              milliseconds(FLAGS_directory_upstreams_watch_wait_ms),
          .hosts_interval = milliseconds(FLAGS_directory_hosts_interval_ms),
          .follows_rollouts = RolloutLimitsFromFlags().is_enabled(),
          .rollouts_watch_wait =
              milliseconds(FLAGS_directory_rollouts_watch_wait_ms)};
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
       RangeOf("directory_rollouts_watch_wait_ms", settings.rollouts_watch_wait,
               kMinWaitMs, kMaxWaitMs),
       RangeOf("directory_hosts_interval_ms", settings.hosts_interval,
               kMinWaitMs, kMaxWaitMs),
       RangeOf("host_capacity", settings.host.capacity, 0, kMaxCapacity)});
}

}  // namespace flamingogauge
