// Compares scheduling policies by discrete-event simulation and prints a table
// of the results. Usage:
//   policy_driver [--seeds=20] [--seed=1] [--jobs=5] [--check-straggler]

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

#include "policy/simulation.h"

namespace flamingogauge::policy {
namespace {

struct Settings {
  std::uint64_t seeds = 20;
  std::uint64_t first_seed = 1;
  std::size_t jobs = 5;
  // Instead of comparing policies, runs the default policy with and without the
  // slow engine, to show the effect on the highest tier.
  bool check_straggler = false;
};

struct Row {
  RunOptions options;
  const char* policy;
  std::vector<RunResult> runs;
};

constexpr std::pair<PolicyKind, const char*> kPolicies[] = {
    {PolicyKind::kDefault, "flamingogauge"},
    {PolicyKind::kLeastOutstanding, "least-outstanding"},
    {PolicyKind::kRoundRobin, "round-robin"},
    {PolicyKind::kOracle, "oracle"}};

double Percentile(std::vector<float> values, double quantile) {
  if (values.empty()) {
    return 0;
  }
  const auto rank = static_cast<std::size_t>(
      quantile * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(rank),
                   values.end());
  return static_cast<double>(values[rank]);
}

void RunAll(std::vector<Row>& rows, const Settings& settings) {
  std::atomic<std::size_t> next{0};
  const std::size_t total = rows.size() * settings.seeds;
  const auto run_worker = [&] {
    for (std::size_t it = next++; it < total; it = next++) {
      Row& row = rows[it / settings.seeds];
      RunOptions options = row.options;
      options.seed = settings.first_seed + it % settings.seeds;
      row.runs[it % settings.seeds] = Simulation(options).Run();
    }
  };
  std::vector<std::thread> threads;
  for (std::size_t it = 0; it < settings.jobs; ++it) {
    threads.emplace_back(run_worker);
  }
  for (std::thread& it : threads) {
    it.join();
  }
}

void PrintRow(const Row& row) {
  std::array<TierResult, kMaxTiers> sums;
  TierResult all;
  double wasted = 0;
  double useful = 0;
  for (const RunResult& run : row.runs) {
    wasted += static_cast<double>(run.wasted_prefill);
    useful += static_cast<double>(run.useful_tokens);
    for (std::size_t tier = 0; tier < kMaxTiers; ++tier) {
      const TierResult& it = run.tiers[tier];
      for (TierResult* sum : {&sums[tier], &all}) {
        sum->offered += it.offered;
        sum->good += it.good;
        sum->shed += it.shed;
      }
      sums[tier].first_token.insert(sums[tier].first_token.end(),
                                    it.first_token.begin(),
                                    it.first_token.end());
      sums[tier].token_gap.insert(sums[tier].token_gap.end(),
                                  it.token_gap.begin(), it.token_gap.end());
    }
  }
  const auto percent = [](std::uint64_t part, std::uint64_t whole) {
    return whole == 0
               ? 0.0
               : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
  };
  std::printf("%-10s %.1f %-17s | %5.1f |", row.options.deployment.name,
              row.options.load, row.policy, percent(all.good, all.offered));
  for (const TierResult& it : sums) {
    std::printf(" %5.1f", percent(it.good, it.offered));
  }
  const double runs = static_cast<double>(row.runs.size());
  std::printf(" | %6.1f %6.1f |", useful / runs / 1e5, wasted / runs / 1e5);
  for (const TierResult& it : sums) {
    std::printf(" %5.2f/%5.2f", Percentile(it.first_token, 0.5),
                Percentile(it.first_token, 0.95));
  }
  std::printf(" |");
  for (const TierResult& it : sums) {
    std::printf(" %3.0f", 1000 * Percentile(it.token_gap, 0.95));
  }
  std::printf(" |");
  for (const TierResult& it : sums) {
    std::printf(" %4.1f", percent(it.shed, it.offered));
  }
  std::printf("\n");
}

void PrintTable(const Settings& settings) {
  std::vector<Row> rows;
  for (const Deployment& deployment : {Stumpfwerk(), Jernpleje()}) {
    for (const double load : {0.7, 1.0, 1.5}) {
      for (const auto& [policy, name] : kPolicies) {
        if (settings.check_straggler && policy != PolicyKind::kDefault) {
          continue;
        }
        RunOptions options{
            .deployment = deployment, .policy = policy, .load = load};
        rows.push_back({options, name, std::vector<RunResult>(settings.seeds)});
        if (settings.check_straggler) {
          options.with_straggler = false;
          rows.push_back({options, "no straggler",
                          std::vector<RunResult>(settings.seeds)});
        }
      }
    }
  }
  RunAll(rows, settings);
  std::printf(
      "seeds %llu to %llu; goodput and refused in %% of the requests by tier "
      "0-4; useful and wasted in 100k tokens a run; first token p50/p95 in s "
      "and time between tokens p95 in ms by tier\n"
      "workload load policy | all | goodput | useful wasted | first token | "
      "between tokens | refused\n",
      static_cast<unsigned long long>(settings.first_seed),
      static_cast<unsigned long long>(settings.first_seed + settings.seeds -
                                      1));
  for (const Row& it : rows) {
    PrintRow(it);
  }
}

}  // namespace
}  // namespace flamingogauge::policy

int main(int argc, char** argv) {
  flamingogauge::policy::Settings settings;
  for (int it = 1; it < argc; ++it) {
    const std::string argument = argv[it];
    const std::size_t equals = argument.find('=');
    const std::uint64_t value =
        equals == std::string::npos
            ? 0
            : std::strtoull(argument.c_str() + equals + 1, nullptr, 10);
    if (argument.rfind("--seeds=", 0) == 0) {
      settings.seeds = std::max<std::uint64_t>(1, value);
    } else if (argument.rfind("--seed=", 0) == 0) {
      settings.first_seed = value;
    } else if (argument.rfind("--jobs=", 0) == 0) {
      settings.jobs = std::clamp<std::uint64_t>(value, 1, 16);
    } else if (argument == "--check-straggler") {
      settings.check_straggler = true;
    } else {
      std::fprintf(stderr, "policy_driver: unknown argument %s\n", argv[it]);
      return 2;
    }
  }
  flamingogauge::policy::PrintTable(settings);
  return 0;
}
