#include "tools/load/load_options.h"

#include <gflags/gflags.h>

#include <initializer_list>
#include <sstream>

DEFINE_string(targets, "", "entry hosts, ip:port, separated by commas");
DEFINE_string(direct, "", "engines for the baseline, ip:port,...");
DEFINE_string(count_engines, "", "fake engines whose counts are read");
DEFINE_string(count_services, "", "fake services whose counts are read");
DEFINE_string(workload, "uniform", "uniform, stumpfwerk or jernpleje");
DEFINE_double(rate, 100, "requests a second, 0.1 to 100000");
DEFINE_double(duration_s, 10, "time in which requests are sent, 0.1 to 3600");
DEFINE_uint64(max_requests, 100000, "bound of the number of requests");
DEFINE_uint64(max_open, 2000, "bound of the requests at the same time");
DEFINE_int32(time_limit_ms, 60000, "time limit of one request");
DEFINE_uint64(seed, 1, "seed of the workload");
DEFINE_string(model, "m", "model that chat requests name");
DEFINE_string(service, "booking", "service that bookings name");
DEFINE_string(keys, "key", "bearer keys of tier 0, 1, ...");
DEFINE_string(tier_names, "", "names of tier 0, 1, ..., sent as a header");
DEFINE_uint64(prompt_tokens, 64, "prompt length of the workload uniform");
DEFINE_uint64(output_tokens, 16, "answer length of the workload uniform");
DEFINE_bool(verify, true, "compare answers with those of the fake engine");
DEFINE_bool(allow_remote, false, "allow addresses outside 127.0.0.0/8");
DEFINE_string(output, "table", "table or json");
DEFINE_string(plot, "", "file for a plot in SVG format");

namespace flamingogauge {
namespace {

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  std::string part;
  while (std::getline(stream, part, ',')) {
    if (!part.empty()) {
      parts.push_back(part);
    }
  }
  return parts;
}

Error FlagError(const std::string& flag,
                const std::string& value,
                const std::string& allowed) {
  return Error{
      .code = ErrorCode::kInvalidArgument,
      .step = "check flags",
      .message = "--" + flag + "=" + value + ": " + allowed + " is allowed"};
}

Result<void> CheckAddresses(const std::string& flag,
                            const std::vector<std::string>& addresses,
                            bool allow_remote) {
  for (const std::string& it : addresses) {
    if (it.find(':') == std::string::npos) {
      return FlagError(flag, it, "ip:port");
    }
    if (!allow_remote && it.compare(0, 4, "127.") != 0) {
      return FlagError(flag, it, "without --allow_remote only 127.0.0.0/8");
    }
  }
  return boost::outcome_v2::success();
}

Result<void> CheckRange(const std::string& flag,
                        double value,
                        double lowest,
                        double highest) {
  if (value >= lowest && value <= highest) {
    return boost::outcome_v2::success();
  }
  std::ostringstream shown;
  std::ostringstream allowed;
  shown << value;
  allowed << lowest << " to " << highest;
  return FlagError(flag, shown.str(), allowed.str());
}

Result<void> CheckOneOf(const std::string& flag,
                        const std::string& value,
                        std::initializer_list<const char*> allowed) {
  std::string list;
  for (const char* it : allowed) {
    if (value == it) {
      return boost::outcome_v2::success();
    }
    list += (list.empty() ? "" : ", ") + std::string(it);
  }
  return FlagError(flag, value, "one of " + list);
}

}  // namespace

Result<LoadOptions> LoadOptionsFromFlags() {
  LoadOptions options{
      .targets = Split(FLAGS_targets),
      .direct = Split(FLAGS_direct),
      .count_engines = Split(FLAGS_count_engines),
      .count_services = Split(FLAGS_count_services),
      .workload = FLAGS_workload,
      .rate = FLAGS_rate,
      .duration = std::chrono::milliseconds(
          static_cast<std::int64_t>(FLAGS_duration_s * 1000)),
      .max_requests = FLAGS_max_requests,
      .max_open = FLAGS_max_open,
      .time_limit = std::chrono::milliseconds(FLAGS_time_limit_ms),
      .seed = FLAGS_seed,
      .model = FLAGS_model,
      .service = FLAGS_service,
      .keys = Split(FLAGS_keys),
      .tier_names = Split(FLAGS_tier_names),
      .prompt_tokens = FLAGS_prompt_tokens,
      .output_tokens = FLAGS_output_tokens,
      .verify = FLAGS_verify,
      .allow_remote = FLAGS_allow_remote,
      .output = FLAGS_output,
      .plot = FLAGS_plot,
  };
  if (options.targets.empty() && options.direct.empty()) {
    return FlagError("targets", "", "at least one address");
  }
  if (options.keys.empty()) {
    return FlagError("keys", "", "at least one key");
  }
  const std::initializer_list<Result<void>> checks{
      CheckAddresses("targets", options.targets, options.allow_remote),
      CheckAddresses("direct", options.direct, options.allow_remote),
      CheckAddresses("count_engines", options.count_engines,
                     options.allow_remote),
      CheckAddresses("count_services", options.count_services,
                     options.allow_remote),
      CheckRange("rate", options.rate, 0.1, 100000),
      CheckRange("duration_s", FLAGS_duration_s, 0.1, 3600),
      CheckRange("max_requests", static_cast<double>(options.max_requests), 1,
                 1e7),
      CheckRange("max_open", static_cast<double>(options.max_open), 1, 20000),
      CheckRange("time_limit_ms", FLAGS_time_limit_ms, 1, 600000),
      CheckRange("prompt_tokens", static_cast<double>(options.prompt_tokens), 8,
                 200000),
      CheckRange("output_tokens", static_cast<double>(options.output_tokens), 1,
                 100000),
      CheckOneOf("workload", options.workload,
                 {"uniform", "stumpfwerk", "jernpleje"}),
      CheckOneOf("output", options.output, {"table", "json"}),
  };
  for (const Result<void>& it : checks) {
    if (!it) {
      return it.error();
    }
  }
  return options;
}

}  // namespace flamingogauge
