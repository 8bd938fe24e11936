// Benchmarks the instruction count and heap use of scheduling decisions. Usage:
//   decision_cost [groups] [workspaces] [decisions]
// To exclude the cost of initialization, run it twice under
// "valgrind --tool=callgrind" with different numbers of decisions and subtract
// the instruction counts.

#include <malloc.h>

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "libs/kernel/random.h"
#include "libs/scheduling/group_scheduler.h"

namespace flamingogauge {
namespace {

// Upstreams per group at the design scale (design section 3).
constexpr std::size_t kUpstreamsPerGroup = 50;
constexpr std::uint64_t kSeed = 1;

struct Group {
  std::unique_ptr<GroupScheduler> scheduler;
  std::vector<PermitOutcome> active_permits;
};

Group MakeGroup() {
  GroupConfig config{.target = "m"};
  for (std::size_t it = 0; it < kUpstreamsPerGroup; ++it) {
    config.upstreams.push_back({.id = "upstream" + std::to_string(it),
                                .generation = "g" + std::to_string(it % 3),
                                .token_capacity = 100000,
                                .max_concurrency = 64});
  }
  GroupPolicies policies = DefaultPolicies(config);
  return {std::make_unique<GroupScheduler>(std::move(config), GroupTiming{},
                                           std::move(policies),
                                           Incarnation{.low = 1}, kSeed),
          {}};
}

// Submits one request, collects the permits granted, and completes an earlier
// request once more than kMaxInFlight are active.
void RunDecision(Group& group,
                 MonotonicTime now,
                 std::uint64_t sequence,
                 std::uint64_t workspace) {
  // Concurrent requests per group at the design load.
  constexpr std::size_t kMaxInFlight = 800;
  group.scheduler->Submit(now,
                          {.id = {.sequence = sequence},
                           .target = "m",
                           .workspace = "workspace" + std::to_string(workspace),
                           .tier = static_cast<Tier>(sequence % kMaxTiers),
                           .fingerprint = {.low = sequence},
                           .prompt_tokens = 300,
                           .prefix_hashes = {sequence % 97},
                           .time_left = std::chrono::milliseconds(60000)},
                          "host");
  group.scheduler->Advance(now);
  for (const GroupAction& it : group.scheduler->TakeActions()) {
    if (const auto* grant = std::get_if<GrantAction>(&it)) {
      group.active_permits.push_back(
          {.permit = grant->permit,
           .request = grant->request,
           .upstream = grant->upstream,
           .end = PermitEnd::kCompleted,
           .prompt_tokens = 300,
           .output_tokens = 100,
           .time_to_first_token = std::chrono::milliseconds(100),
           .total_time = std::chrono::milliseconds(3000)});
    }
  }
  if (group.active_permits.size() > kMaxInFlight) {
    PermitOutcome& ended = group.active_permits[sequence % kMaxInFlight];
    group.scheduler->OnOutcome(now, ended);
    ended = group.active_permits.back();
    group.active_permits.pop_back();
  }
}

}  // namespace
}  // namespace flamingogauge

int main(int argc, char** argv) {
  using flamingogauge::Group;
  const auto argument = [&](int index, std::uint64_t fallback) {
    return argc > index ? std::strtoull(argv[index], nullptr, 10) : fallback;
  };
  const std::uint64_t group_count = argument(1, 1);
  const std::uint64_t workspaces = argument(2, 5);
  const std::uint64_t decisions = argument(3, 20000);
  std::vector<Group> groups;
  for (std::uint64_t it = 0; it < group_count; ++it) {
    groups.push_back(flamingogauge::MakeGroup());
  }
  const std::size_t heap_before = mallinfo2().uordblks;
  flamingogauge::Random random(flamingogauge::kSeed);
  flamingogauge::MonotonicTime now{std::chrono::seconds(1000)};
  // The first `workspaces` requests create the state of every workspace, so
  // that the remaining decisions measure steady state.
  for (std::uint64_t it = 1; it <= workspaces + decisions; ++it) {
    // 100 requests per second and group, regardless of the number of groups.
    now += std::chrono::microseconds(10000 / group_count);
    if (it % (100 * group_count) == 0) {
      for (const Group& group : groups) {
        for (const flamingogauge::PermitOutcome& renewed :
             group.active_permits) {
          group.scheduler->Renew(now, renewed.permit);
        }
      }
    }
    flamingogauge::RunDecision(
        groups[it % group_count], now, it,
        it <= workspaces ? it : random.NextBelow(workspaces));
  }
  std::printf("groups %llu workspaces %llu decisions %llu heap growth %zu KB\n",
              static_cast<unsigned long long>(group_count),
              static_cast<unsigned long long>(workspaces),
              static_cast<unsigned long long>(decisions),
              (mallinfo2().uordblks - heap_before) / 1024);
  return 0;
}
