#ifndef FLAMINGOGAUGE_TOOLS_POLICY_WORKLOAD_H_
#define FLAMINGOGAUGE_TOOLS_POLICY_WORKLOAD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libs/scheduling/group_types.h"

namespace flamingogauge::policy {

// One hardware generation of the engine model. Times in seconds.
struct Generation {
  const char* name;
  double prefill_rate;
  double step_base;
  double step_per_request;
  std::uint64_t token_capacity;
};

// A class of requests: its tier, share of the arrivals and lengths.
struct RequestClass {
  Tier tier;
  double share;
  double prompt_mean;
  double output_mean;
  // The part of the prompt that is one of the workspace's templates.
  double template_part;
};

struct Deployment {
  const char* name;
  std::vector<Generation> upstreams;
  std::vector<RequestClass> classes;
  double goodput_weight;
  double wasted_prefill_weight;
};

struct Arrival {
  double time = 0;
  PermitRequest request;
  // The true length, hidden from the scheduler.
  std::uint32_t output_tokens = 0;
  std::size_t host = 0;
};

inline constexpr std::size_t kHosts = 6;
inline constexpr std::uint32_t kBlockTokens = 256;
// Requests that arrive until then are counted, in seconds. Arrivals go on until
// their last deadline, so that no policy gains by postponing work to an end
// without load.
inline constexpr double kCountedSeconds = 240;
inline constexpr double kArrivalSeconds = kCountedSeconds + 180;
// Seconds from acceptance to the end of the answer, by tier.
inline constexpr double kDeadlines[kMaxTiers] = {10, 20, 90, 120, 180};

Deployment Stumpfwerk();
Deployment Jernpleje();

// Requests a second at which the engines' mean work equals their capacity.
double CapacityRate(const Deployment& deployment);

// Arrivals with bursts at `load` times the capacity.
std::vector<Arrival> MakeArrivals(const Deployment& deployment,
                                  double load,
                                  std::uint64_t seed);

}  // namespace flamingogauge::policy

#endif  // FLAMINGOGAUGE_TOOLS_POLICY_WORKLOAD_H_
