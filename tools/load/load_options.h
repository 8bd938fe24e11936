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
  // Entry hosts, "ip:port", asked in turn.
  std::vector<std::string> targets;
  // Engines that get every second chat request directly, as the baseline of
  // the same run; empty means none.
  std::vector<std::string> direct;
  // Fakes whose execution counts are read at the end to find duplicates.
  std::vector<std::string> count_engines;
  std::vector<std::string> count_services;
  std::string workload = "uniform";
  double rate = 100;
  std::chrono::milliseconds duration{10000};
  std::uint64_t max_requests = 100000;
  // A request that would be one more at the same time is counted as not sent.
  std::size_t max_open = 2000;
  std::chrono::milliseconds time_limit{60000};
  std::uint64_t seed = 1;
  std::string model = "m";
  std::string service = "booking";
  // The bearer keys of the tiers; the last one is used for all further tiers.
  std::vector<std::string> keys{"key"};
  // The names of the tiers, sent as Flamingogauge-Tier; without a name the
  // workspace's own tier applies.
  std::vector<std::string> tier_names;
  // For the workload "uniform", in tokens of four bytes.
  std::size_t prompt_tokens = 64;
  std::size_t output_tokens = 16;
  // Compares answers with those of the fake engine.
  bool verify = true;
  bool allow_remote = false;
  std::string output = "table";
  std::string plot;
};

// Reads the flags and checks them. The error names the flag, the value and
// what is allowed.
Result<LoadOptions> LoadOptionsFromFlags();

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TOOLS_LOAD_LOAD_OPTIONS_H_
