// Benchmarks the cost of admission in a saturated service. Usage:
//   admission_cost [waiting] [decisions]
// Each decision is one arrival, one end, one pass of placement and one of
// refusal. To exclude the cost of initialization, run it twice under
// "valgrind --tool=callgrind" with different numbers of decisions and subtract
// the instruction counts.

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "libs/dispatching/dispatcher.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kUpstreams = 112;
constexpr int kSlots = 7;
constexpr std::uint64_t kWorkspaces = 16;
constexpr milliseconds kStep{1};

WaitingRequest MakeRequest(std::uint64_t id, MonotonicTime now) {
  return {.id = id,
          .service = "s",
          .priority = static_cast<int>(id % 3),
          .arrived_at = now,
          .due_at = now + seconds(5),
          .start_by = now + seconds(60),
          .deadline = now + seconds(60),
          .prompt_tokens = 1000,
          .expected_output_tokens = 200,
          .was_sent = true,
          .workspace = id % kWorkspaces + 1};
}

void Run(int waiting, int decisions) {
  Dispatcher dispatcher({.data_centre = "d", .regions = {}});
  std::vector<UpstreamEntry> upstreams;
  for (int n = 0; n < kUpstreams; ++n) {
    upstreams.push_back({.id = "u" + std::to_string(n),
                         .service = "s",
                         .data_centre = "d",
                         .slots = kSlots});
  }
  MonotonicTime now{std::chrono::hours(1)};
  dispatcher.SetUpstreams(upstreams, now);
  std::uint64_t id = 0;
  for (int n = 0; n < kUpstreams * kSlots + waiting; ++n) {
    dispatcher.Enqueue(MakeRequest(++id, now));
  }
  std::vector<Placement> running = dispatcher.Place(now);
  dispatcher.Reject(now);
  std::size_t next = 0;
  for (int n = 0; n < decisions; ++n) {
    now += kStep;
    dispatcher.Enqueue(MakeRequest(++id, now));
    Placement& ended = running[next++ % running.size()];
    dispatcher.OnEnded(ended.upstream.id, DispatchResult::kServed, now);
    for (const Placement& it : dispatcher.Place(now)) {
      ended = it;
    }
    dispatcher.Reject(now);
  }
  std::printf("%zu requests wait after %d decisions\n",
              dispatcher.waiting_count(), decisions);
}

}  // namespace
}  // namespace flamingogauge

int main(int argc, char** argv) {
  const int waiting = argc > 1 ? std::atoi(argv[1]) : 300;
  const int decisions = argc > 2 ? std::atoi(argv[2]) : 2000;
  flamingogauge::Run(waiting, decisions);
  return 0;
}
