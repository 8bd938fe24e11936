// A simulated fleet whose upstreams state how many requests per second they
// take from all hosts together.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "libs/kernel/random.h"
#include "tests/auto/coordination/fleet_simulation.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Hosts have this time to follow a limit that was stated for the first time.
constexpr seconds kFollowTime{4};
constexpr seconds kWindow{4};

// The most requests that an upstream may get in kWindow.
int AllowedInWindow(double limit) {
  return static_cast<int>(limit * 1.5 * kWindow.count()) + 5;
}

struct Case {
  std::string name;
  FleetSimulationOptions options;
  double limit = 2;
  // Upstreams that state the limit.
  std::size_t limited = 1;
  // What happens at each millisecond of the run.
  std::function<void(FleetSimulation&, Random&, int)> at_ms =
      [](FleetSimulation&, Random&, int) {};
};

int RandomHost(const FleetSimulation& fleet, Random& random) {
  return static_cast<int>(
      random.NextBelow(static_cast<std::uint64_t>(fleet.host_count())));
}

// Submits a request at a random host after each `interval`, for `time`.
void SubmitEvery(milliseconds interval,
                 milliseconds time,
                 FleetSimulation& fleet,
                 Random& random) {
  for (int ms = 0; ms < time.count(); ++ms) {
    if (ms % interval.count() == 0) {
      fleet.Submit(RandomHost(fleet, random));
    }
    fleet.Step();
  }
}

std::vector<Case> Cases() {
  const FleetSimulationOptions small{.data_centres = 3,
                                     .hosts_per_data_centre = 2,
                                     .upstreams_per_data_centre = 6,
                                     .slots = 7,
                                     .max_delay = milliseconds(20)};
  FleetSimulationOptions lossy = small;
  lossy.loss = 0.03;
  const FleetSimulationOptions many_data_centres{.data_centres = 13,
                                                 .hosts_per_data_centre = 5,
                                                 .upstreams_per_data_centre = 2,
                                                 .slots = 7,
                                                 .max_delay = milliseconds(20)};
  return {
      {"one upstream", small},
      {"a limit below one", small, 0.5},
      {"a limit of zero", small, 0},
      {"all upstreams", small, 1.4, 18},
      {"many data centres", many_data_centres, 1.4, 3},
      {"many data centres, a limit below one", many_data_centres, 0.5, 26},
      {"lost messages", lossy, 2, 18},
      {"the coordinator dies and returns", small, 2, 18,
       [](FleetSimulation& fleet, Random&, int ms) {
         if (ms % 2000 == 900) {
           const int host = fleet.IndexOf(fleet.CoordinatorOf(0));
           fleet.Kill(host);
           fleet.Start(host);
         }
       }},
      {"hosts are paused at random", small, 2, 18,
       [](FleetSimulation& fleet, Random& random, int ms) {
         if (ms % 500 == 0) {
           fleet.Freeze(RandomHost(fleet, random),
                        milliseconds(100 + random.NextBelow(1500)));
         }
       }},
  };
}

// Guards against an upstream in need that gets more requests than the limit
// that it names, from one host or from all together.
TEST_CASE("an upstream gets no more requests than the limit that it states") {
  for (const Case& it : Cases()) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      CAPTURE(it.name);
      CAPTURE(seed);
      FleetSimulationOptions options = it.options;
      options.seed = seed;
      FleetSimulation fleet(options);
      Random random(seed);
      fleet.Run(seconds(1));
      for (std::size_t n = 0; n < it.limited; ++n) {
        fleet.StateRateLimit(fleet.upstreams()[n].id, it.limit);
      }
      int largest = 0;
      for (int ms = 0; ms < 16000; ++ms) {
        if (ms % 10 == 0) {
          fleet.Submit(RandomHost(fleet, random));
        }
        it.at_ms(fleet, random, ms);
        fleet.Step();
        if (milliseconds(ms) < kFollowTime + kWindow || ms % 10 != 0) {
          continue;
        }
        for (std::size_t n = 0; n < it.limited; ++n) {
          largest =
              std::max(largest, fleet.SentDespiteLimit(fleet.upstreams()[n].id,
                                                       milliseconds(kWindow)));
        }
      }
      CHECK(largest <= AllowedInWindow(it.limit));
    }
  }
}

// Guards against limited upstreams that are left unused while callers wait, and
// against some of them that get nothing.
TEST_CASE("upstreams get what they take as long as there is demand") {
  struct Row {
    std::string name;
    FleetSimulationOptions options;
    double limit = 2;
  };
  for (const Row& row : {
           Row{"three data centres",
               {.data_centres = 3,
               .hosts_per_data_centre = 2,
               .upstreams_per_data_centre = 6,
               .slots = 7},
               2},
           Row{"one host",
               {.hosts_per_data_centre = 1, .upstreams_per_data_centre = 5},
               4},
           Row{"many data centres",
               {.data_centres = 13,
               .hosts_per_data_centre = 3,
               .upstreams_per_data_centre = 1},
               1},
       }) {
    CAPTURE(row.name);
    FleetSimulation fleet(row.options);
    Random random(1);
    fleet.Run(seconds(1));
    for (const UpstreamEntry& it : fleet.upstreams()) {
      fleet.StateRateLimit(it.id, row.limit);
    }
    SubmitEvery(milliseconds(10), seconds(20), fleet, random);
    for (const UpstreamEntry& it : fleet.upstreams()) {
      CAPTURE(it.id);
      CHECK(fleet.Sent(it.id, seconds(10)) >= row.limit * 10 * 0.8);
    }
    CHECK(fleet.placed_twice() == 0);
  }
}

// Guards against an upstream that stays nearly unused after its need, also at
// hosts that no longer send it requests themselves.
TEST_CASE("an upstream that no longer states a limit is used as the others") {
  for (const double limit : {0.0, 0.5, 2.0}) {
    CAPTURE(limit);
    FleetSimulation fleet({.data_centres = 6,
                           .hosts_per_data_centre = 2,
                           .upstreams_per_data_centre = 2,
                           .slots = 7,
                           .max_delay = milliseconds(20)});
    Random random(1);
    fleet.Run(seconds(1));
    const std::string& in_need = fleet.upstreams()[0].id;
    const std::string& other = fleet.upstreams()[1].id;
    fleet.StateRateLimit(in_need, limit);
    SubmitEvery(milliseconds(5), seconds(10), fleet, random);
    CHECK(fleet.Sent(in_need, seconds(4)) * 3 < fleet.Sent(other, seconds(4)));
    fleet.StateRateLimit(in_need, std::nullopt);
    SubmitEvery(milliseconds(5), seconds(10), fleet, random);
    CHECK(fleet.Sent(in_need, seconds(2)) * 3 >
          fleet.Sent(other, seconds(2)) * 2);
  }
}

}  // namespace
}  // namespace flamingogauge
