// Makes scheduling decisions for measurement of instructions and memory. Usage:
//   decision_cost [groups] [workspaces] [decisions]
// Run it under "valgrind --tool=callgrind" with two numbers of decisions; the
// difference is free of the cost of the set-up.

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

// The size of a group at the target size (design section 3).
constexpr std::size_t kUpstreams = 50;
constexpr std::uint64_t kSeed = 1;

struct Group {
  std::unique_ptr<GroupScheduler> scheduler;
  std::vector<PermitOutcome> in_use;
};

Group MakeGroup() {
  GroupConfig config{.target = "m"};
  for (std::size_t it = 0; it < kUpstreams; ++it) {
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

// One arrival, its grant, and the end of an earlier request.
void Decide(Group& group,
            MonotonicTime now,
            std::uint64_t sequence,
            std::uint64_t workspace) {
  // As many requests in flight as the target's load gives a group.
  constexpr std::size_t kInFlight = 800;
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
      group.in_use.push_back(
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
  if (group.in_use.size() > kInFlight) {
    PermitOutcome& ended = group.in_use[sequence % kInFlight];
    group.scheduler->OnOutcome(now, ended);
    ended = group.in_use.back();
    group.in_use.pop_back();
  }
}

}  // namespace
}  // namespace flamingogauge

int main(int argc, char** argv) {
  using flamingogauge::Group;
  const auto argument = [&](int index, std::uint64_t fallback) {
    return argc > index ? std::strtoull(argv[index], nullptr, 10) : fallback;
  };
  const std::uint64_t count = argument(1, 1);
  const std::uint64_t workspaces = argument(2, 5);
  const std::uint64_t decisions = argument(3, 20000);
  std::vector<Group> groups;
  for (std::uint64_t it = 0; it < count; ++it) {
    groups.push_back(flamingogauge::MakeGroup());
  }
  const std::size_t before = mallinfo2().uordblks;
  flamingogauge::Random random(flamingogauge::kSeed);
  flamingogauge::MonotonicTime now{std::chrono::seconds(1000)};
  // Every workspace is seen once before the decisions that are compared.
  for (std::uint64_t it = 1; it <= workspaces + decisions; ++it) {
    // Each group has 100 requests a second, however many there are.
    now += std::chrono::microseconds(10000 / count);
    if (it % (100 * count) == 0) {
      for (const Group& group : groups) {
        for (const flamingogauge::PermitOutcome& renewed : group.in_use) {
          group.scheduler->Renew(now, renewed.permit);
        }
      }
    }
    flamingogauge::Decide(groups[it % count], now, it,
                          it <= workspaces ? it : random.NextBelow(workspaces));
  }
  std::printf("groups %llu workspaces %llu decisions %llu heap growth %zu KB\n",
              static_cast<unsigned long long>(count),
              static_cast<unsigned long long>(workspaces),
              static_cast<unsigned long long>(decisions),
              (mallinfo2().uordblks - before) / 1024);
  return 0;
}
