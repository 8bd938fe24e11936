#ifndef FLAMINGOGAUGE_TOOLS_LOAD_LOAD_OPTIONS_H_
#define FLAMINGOGAUGE_TOOLS_LOAD_LOAD_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "libs/kernel/error.h"

namespace flamingogauge {

struct LoadOptions {
  // Entry hosts as "ip:port", used in rotation.
  std::vector<std::string> targets;
  // Engines that receive every second chat request directly, as a baseline
  // within the same run. Empty if there is no baseline.
  std::vector<std::string> direct;
  // Fake upstreams whose execution counts are read at the end of the run to
  // detect duplicate executions.
  std::vector<std::string> count_engines;
  std::vector<std::string> count_services;
  std::string workload = "uniform";
  double rate = 100;
  std::chrono::milliseconds duration{10000};
  std::uint64_t max_requests = 100000;
  // Maximum number of concurrent requests. Requests beyond it are counted as
  // not sent.
  std::size_t max_open = 2000;
  std::chrono::milliseconds time_limit{60000};
  std::uint64_t seed = 1;
  std::string model = "m";
  std::string service = "booking";
  // Bearer keys by tier; the last one is also used for all higher tier numbers.
  std::vector<std::string> keys{"key"};
  // Tier names, sent in the Flamingogauge-Tier header. For a tier without a
  // name no header is sent and the default tier of the workspace applies.
  std::vector<std::string> tier_names;
  // Lengths for the workload "uniform", in tokens of four bytes.
  std::size_t prompt_tokens = 64;
  std::size_t output_tokens = 16;
  // Whether to compare responses with those of the fake engine.
  bool verify = true;
  bool allow_remote = false;
  std::string output = "table";
  std::string plot;
};

// Reads and validates the flags. An error contains the flag, its value, and the
// allowed values.
Result<LoadOptions> LoadOptionsFromFlags();

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TOOLS_LOAD_LOAD_OPTIONS_H_
