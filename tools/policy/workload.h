#ifndef FLAMINGOGAUGE_TOOLS_POLICY_WORKLOAD_H_
#define FLAMINGOGAUGE_TOOLS_POLICY_WORKLOAD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libs/scheduling/group_types.h"

namespace flamingogauge::policy {

// Performance parameters of one hardware generation. Times are in seconds,
// prefill_rate in tokens per second.
struct Generation {
  const char* name;
  double prefill_rate;
  double step_base;
  double step_per_request;
  std::uint64_t token_capacity;
};

// A class of requests: its tier, its share of the arrivals, and its mean
// lengths in tokens.
struct RequestClass {
  Tier tier;
  double share;
  double prompt_mean;
  double output_mean;
  // Fraction of the prompt that is shared with other requests because it is one
  // of the workspace's templates.
  double template_fraction;
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
  // Actual output length; only the oracle policy may read it.
  std::uint32_t output_tokens = 0;
  std::size_t host = 0;
};

inline constexpr std::size_t kHosts = 6;
inline constexpr std::uint32_t kBlockTokens = 256;
// Only requests that arrive within the first kCountedSeconds are counted.
// Arrivals continue until the last deadline of those requests, so that a policy
// cannot gain by deferring work to an idle period at the end of the run.
inline constexpr double kCountedSeconds = 240;
inline constexpr double kArrivalSeconds = kCountedSeconds + 180;
// Request deadlines by tier, in seconds from acceptance to the end of the
// response.
inline constexpr double kDeadlines[kMaxTiers] = {10, 20, 90, 120, 180};

Deployment Stumpfwerk();
Deployment Jernpleje();

// Returns the requests per second at which the mean work equals the capacity of
// the engines.
double CapacityRate(const Deployment& deployment);

// Generates bursty arrivals with a mean rate of `load` times CapacityRate().
std::vector<Arrival> MakeArrivals(const Deployment& deployment,
                                  double load,
                                  std::uint64_t seed);

}  // namespace flamingogauge::policy

#endif  // FLAMINGOGAUGE_TOOLS_POLICY_WORKLOAD_H_
