#include "plugins/gateway/gateway_settings.h"

#include <gflags/gflags.h>

#include "libs/kernel/setting_range.h"
#include "libs/limits/host_limits.h"

DECLARE_string(host_name);
DECLARE_string(host_data_centre);
DECLARE_string(host_report_address);

DEFINE_string(gateway_listen_address,
              "",
              "ip:port on which the gateway serves callers; empty disables "
              "the gateway");
DEFINE_string(gateway_status_address,
              "",
              "ip:port for readiness, metrics and the state dump");
DEFINE_string(gateway_regions,
              "",
              "comma-separated list of data-centre=region pairs");
DEFINE_double(gateway_resend_ratio,
              0.2,
              "resends allowed per request of a service");
DEFINE_double(gateway_resend_allowance,
              50,
              "additional resends per window, shared by all hosts");
DEFINE_uint32(gateway_resend_window_s,
              10,
              "length of the resend budget's window, in s");
DEFINE_double(gateway_stop_limit_s,
              8,
              "time from the signal of a planned shutdown until the process "
              "is killed, in s");
DEFINE_uint32(gateway_drain_min_time_ms,
              3500,
              "minimum time for which a planned shutdown keeps accepting "
              "connections, in ms");
DEFINE_uint32(gateway_report_interval_ms,
              200,
              "interval between load reports to other hosts, in ms");
DEFINE_uint32(gateway_upstream_start_requests,
              0,
              "requests at a time for an upstream that has just started; its "
              "number grows with its answers. 0 gives each upstream all its "
              "slots at once");

DEFINE_double(
    gateway_held_memory_share,
    0.25,
    "share of --host_memory_mb that the gateway may hold for callers: "
    "requests and responses on their way");
DEFINE_uint64(gateway_max_connections,
              0,
              "connections of callers that may be open; 0: three quarters of "
              "the sockets that --host_max_descriptors leaves");
DEFINE_uint32(gateway_unread_limit_ms,
              15000,
              "time after which a caller that reads nothing of a response is "
              "disconnected, in ms");

namespace flamingogauge {
namespace {

std::map<std::string, std::string> ParseRegions(const std::string& text) {
  std::map<std::string, std::string> regions;
  std::size_t begin = 0;
  while (begin < text.size()) {
    const std::size_t end = std::min(text.find(',', begin), text.size());
    const std::string pair = text.substr(begin, end - begin);
    const std::size_t equals = pair.find('=');
    if (equals != std::string::npos) {
      regions[pair.substr(0, equals)] = pair.substr(equals + 1);
    }
    begin = end + 1;
  }
  return regions;
}

// The rest of the limit is left for the process to exit.
std::chrono::milliseconds DrainTimeLimit(double stop_limit_s) {
  constexpr double kDrainFraction = 0.85;
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(stop_limit_s * 1000 * kDrainFraction));
}

}  // namespace

GatewaySettings GatewaySettingsFromFlags() {
  using std::chrono::milliseconds;
  const HostLimits limits = HostLimitsFromFlags();
  return {.host = FLAGS_host_name,
          .data_centre = FLAGS_host_data_centre,
          .listen_address = FLAGS_gateway_listen_address,
          .status_address = FLAGS_gateway_status_address,
          .report_address = FLAGS_host_report_address,
          .regions = ParseRegions(FLAGS_gateway_regions),
          .changes = ChangeLimitsFromFlags(),
          .resend_ratio = FLAGS_gateway_resend_ratio,
          .resend_allowance = FLAGS_gateway_resend_allowance,
          .resend_window = std::chrono::seconds(FLAGS_gateway_resend_window_s),
          .stop_limit = milliseconds(
              static_cast<std::int64_t>(FLAGS_gateway_stop_limit_s * 1000)),
          .drain_time_limit = DrainTimeLimit(FLAGS_gateway_stop_limit_s),
          .drain_min_time = milliseconds(FLAGS_gateway_drain_min_time_ms),
          .report_interval = milliseconds(FLAGS_gateway_report_interval_ms),
          .rollouts = RolloutLimitsFromFlags(),
          .max_held_bytes = static_cast<std::size_t>(
              static_cast<double>(limits.memory_bytes) *
              FLAGS_gateway_held_memory_share),
          .max_connections = FLAGS_gateway_max_connections != 0
                                 ? FLAGS_gateway_max_connections
                                 : limits.MaxCallerConnections(),
          .unread_limit = milliseconds(FLAGS_gateway_unread_limit_ms),
          .upstream_start_requests =
              static_cast<int>(FLAGS_gateway_upstream_start_requests)};
}

void GatewaySettings::Reload(const GatewaySettings& from) {
  regions = from.regions;
  changes = from.changes;
  resend_ratio = from.resend_ratio;
  resend_allowance = from.resend_allowance;
  resend_window = from.resend_window;
  stop_limit = from.stop_limit;
  drain_time_limit = from.drain_time_limit;
  drain_min_time = from.drain_min_time;
  report_interval = from.report_interval;
  max_held_bytes = from.max_held_bytes;
  max_connections = from.max_connections;
  unread_limit = from.unread_limit;
}

Result<void> CheckGatewaySettings(const GatewaySettings& settings) {
  for (const std::string& it :
       {settings.listen_address, settings.status_address,
        settings.report_address}) {
    if (it.find(':') == std::string::npos) {
      return Error{.code = ErrorCode::kInvalidArgument,
                   .step = "check settings",
                   .message = "\"" + it + "\" is not of the form ip:port"};
    }
  }
  if (Result<void> checked = CheckRolloutLimits(settings.rollouts); !checked) {
    return checked;
  }
  Result<void> limits = CheckHostLimitFlags();
  if (!limits) {
    return limits;
  }
  return CheckSettingRanges(
      {RangeOf("gateway_held_memory_share", FLAGS_gateway_held_memory_share,
               0.05, 0.8),
       RangeOf("gateway_max_connections", settings.max_connections, 8,
               1U << 20U),
       RangeOf("gateway_unread_limit_ms", settings.unread_limit, 1000, 600000),
       RangeOf("change_apply_limit_ms", settings.changes.apply, 500, 600000),
       RangeOf("key_revocation_limit_ms", settings.changes.revoke, 1000,
               600000),
       RangeOf("gateway_resend_ratio", settings.resend_ratio, 0, 10),
       RangeOf("gateway_resend_allowance", settings.resend_allowance, 0,
               1000000),
       RangeOf("gateway_resend_window_s", settings.resend_window, 1, 3600),
       RangeOf("gateway_stop_limit_s: the resulting drain time in ms",
               settings.drain_time_limit, 0, 600000),
       RangeOf("gateway_drain_min_time_ms", settings.drain_min_time, 0, 600000),
       RangeOf("gateway_report_interval_ms", settings.report_interval, 20,
               60000),
       RangeOf("gateway_upstream_start_requests",
               settings.upstream_start_requests, 0, 1000)});
}

}  // namespace flamingogauge
