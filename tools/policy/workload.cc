#include "policy/workload.h"

#include <algorithm>
#include <cmath>

#include "libs/kernel/random.h"

namespace flamingogauge::policy {
namespace {

constexpr Generation kNew{"new", 12000, 0.012, 0.0007, 120000};
constexpr Generation kMiddle{"middle", 7000, 0.016, 0.0010, 80000};
constexpr Generation kOld{"old", 3500, 0.022, 0.0015, 48000};

// Shares of the five workspaces: a few large and several small ones.
constexpr double kWorkspaceShares[] = {0.45, 0.3, 0.15, 0.07, 0.03};
constexpr std::uint64_t kTemplatesPerWorkspace = 6;

// Each 40 s period begins with a 6 s burst at three times the rate outside it.
// The rates are scaled so that the mean rate is unchanged.
constexpr double kBurstPeriod = 40;
constexpr double kBurstLength = 6;
constexpr double kBurstFactor = 3;

std::vector<Generation> MakeUpstreams(int newest, int middle, int oldest) {
  std::vector<Generation> fleet;
  fleet.insert(fleet.end(), static_cast<std::size_t>(newest), kNew);
  fleet.insert(fleet.end(), static_cast<std::size_t>(middle), kMiddle);
  fleet.insert(fleet.end(), static_cast<std::size_t>(oldest), kOld);
  return fleet;
}

// Draws a length in tokens with the given mean and a coefficient of variation
// of about 0.5.
std::uint32_t SampleLength(Random& random, double mean) {
  const double sum = random.NextDouble() + random.NextDouble() +
                     random.NextDouble() + random.NextDouble();
  const double factor = std::exp((sum - 2) * 0.8) * 0.9;
  return static_cast<std::uint32_t>(std::max(2.0, mean * factor));
}

double BurstRateFactor(double time) {
  const bool burst = std::fmod(time, kBurstPeriod) < kBurstLength;
  const double mean = 1 + (kBurstFactor - 1) * kBurstLength / kBurstPeriod;
  return (burst ? kBurstFactor : 1) / mean;
}

std::size_t SampleByShare(Random& random,
                          const double* shares,
                          std::size_t count) {
  double remaining = random.NextDouble();
  for (std::size_t it = 0; it + 1 < count; ++it) {
    if (remaining < shares[it]) {
      return it;
    }
    remaining -= shares[it];
  }
  return count - 1;
}

// Returns the hashes of the prompt's blocks: those of a template, followed by
// random ones that no other request shares.
std::vector<std::uint64_t> MakeBlockHashes(Random& random,
                                           std::size_t workspace,
                                           std::size_t kind,
                                           std::uint32_t prompt,
                                           double template_fraction) {
  const std::uint64_t key =
      (workspace * 100 + kind) * 100 + random.NextBelow(kTemplatesPerWorkspace);
  Random template_random(key);
  const auto shared =
      static_cast<std::uint32_t>(prompt * template_fraction / kBlockTokens);
  std::vector<std::uint64_t> blocks(prompt / kBlockTokens);
  for (std::size_t it = 0; it < blocks.size(); ++it) {
    blocks[it] = it < shared ? template_random.Next() : random.Next();
  }
  return blocks;
}

}  // namespace

Deployment Stumpfwerk() {
  return {.name = "stumpfwerk",
          .upstreams = MakeUpstreams(4, 4, 4),
          .classes = {{0, 0.20, 150, 40, 0.3},
                      {1, 0.30, 250, 60, 0.3},
                      {2, 0.20, 300, 80, 0.3},
                      {2, 0.06, 7000, 900, 0.6},
                      {3, 0.12, 9000, 1000, 0.6},
                      {4, 0.12, 9000, 1000, 0.6}},
          .goodput_weight = 2,
          .wasted_prefill_weight = 1};
}

Deployment Jernpleje() {
  return {.name = "jernpleje",
          .upstreams = MakeUpstreams(6, 6, 6),
          .classes = {{0, 0.15, 150, 40, 0.3},
                      {1, 0.25, 250, 60, 0.3},
                      {2, 0.15, 300, 80, 0.3},
                      {2, 0.10, 9000, 900, 0.75},
                      {3, 0.20, 12000, 1000, 0.75},
                      {4, 0.15, 12000, 1000, 0.75}},
          .goodput_weight = 1,
          .wasted_prefill_weight = 2};
}

double CapacityRate(const Deployment& deployment) {
  double prefill_tokens = 0;
  double output = 0;
  double resident = 0;
  for (const RequestClass& it : deployment.classes) {
    // Assumes a prefix cache hit for four fifths of the template tokens.
    prefill_tokens +=
        it.share * it.prompt_mean * (1 - 0.8 * it.template_fraction);
    output += it.share * it.output_mean;
    resident +=
        it.share * it.output_mean * (it.prompt_mean + it.output_mean / 2);
  }
  const double mean_resident = resident / output;
  double rate = 0;
  for (const Generation& it : deployment.upstreams) {
    // The batch size is limited by the engine, by the time between tokens, and
    // by memory. Prefill reduces the time available for decoding.
    const double batch =
        std::min({64.0, (0.059 - it.step_base) / it.step_per_request,
                  static_cast<double>(it.token_capacity) / mean_resident});
    const double gap = it.step_base + it.step_per_request * batch;
    rate += batch / (output * gap + batch * prefill_tokens / it.prefill_rate);
  }
  return rate;
}

std::vector<Arrival> MakeArrivals(const Deployment& deployment,
                                  double load,
                                  std::uint64_t seed) {
  Random random(seed);
  const double rate = load * CapacityRate(deployment);
  std::vector<double> shares;
  for (const RequestClass& it : deployment.classes) {
    shares.push_back(it.share);
  }
  std::vector<Arrival> arrivals;
  double time = 0;
  while (time < kArrivalSeconds) {
    time += -std::log(1 - random.NextDouble()) / (rate * BurstRateFactor(time));
    const std::size_t kind =
        SampleByShare(random, shares.data(), shares.size());
    const RequestClass& it = deployment.classes[kind];
    const std::size_t workspace = SampleByShare(random, kWorkspaceShares, 5);
    Arrival arrival{.time = time, .host = random.NextBelow(kHosts)};
    arrival.output_tokens = SampleLength(random, it.output_mean);
    PermitRequest& request = arrival.request;
    request.id = {.sequence = arrivals.size() + 1};
    request.target = "model";
    request.workspace = "workspace" + std::to_string(workspace);
    request.tier = it.tier;
    request.fingerprint = {.high = seed, .low = arrivals.size() + 1};
    request.prompt_tokens = SampleLength(random, it.prompt_mean);
    // Half of the callers set an output limit, at four times the mean length.
    request.max_output_tokens =
        random.NextBool(0.5) ? static_cast<std::uint32_t>(4 * it.output_mean)
                             : 0;
    request.prefix_hashes = MakeBlockHashes(
        random, workspace, kind, request.prompt_tokens, it.template_fraction);
    request.time_left = std::chrono::milliseconds(
        static_cast<std::int64_t>(kDeadlines[it.tier] * 1000));
    arrivals.push_back(std::move(arrival));
  }
  return arrivals;
}

}  // namespace flamingogauge::policy
