#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "tests/auto/coordination/fleet_simulation.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

int RandomHost(const FleetSimulation& fleet, Random& random) {
  return static_cast<int>(
      random.NextBelow(static_cast<std::uint64_t>(fleet.host_count())));
}

// Submits requests at random hosts for `time`, as many as use `load` of all
// slots.
void SubmitLoad(FleetSimulation& fleet,
                const FleetSimulationOptions& options,
                double load,
                milliseconds time,
                Random& random,
                const std::function<void(int)>& on_ms = nullptr) {
  const double slots =
      options.data_centres * options.upstreams_per_data_centre * options.slots;
  // An execution takes three quarters of the longest on average.
  const double per_ms =
      load * slots /
      (0.75 * static_cast<double>(options.max_execution.count()));
  double due = 0;
  for (int ms = 0; ms < time.count(); ++ms) {
    for (due += per_ms; due >= 1; due -= 1) {
      fleet.Submit(RandomHost(fleet, random));
    }
    if (on_ms) {
      on_ms(ms);
    }
    fleet.Step();
  }
}

// Guards against hosts that send more requests to an upstream than it has
// slots, because each sees a free slot that another one takes too: with many
// hosts, most requests would wait at a full upstream beside a free one.
TEST_CASE("one coordinator never gives a slot away twice") {
  for (const int hosts : {1, 3, 9, 50}) {
    for (const double load : {0.5, 0.9, 1.5}) {
      CAPTURE(hosts);
      CAPTURE(load);
      const FleetSimulationOptions options{.hosts_per_data_centre = hosts,
                                           .upstreams_per_data_centre = 20,
                                           .seed = 7};
      FleetSimulation fleet(options);
      Random random(1);
      fleet.Run(seconds(1));
      SubmitLoad(fleet, options, load, seconds(5), random);
      fleet.Run(seconds(4));
      CHECK(fleet.largest_excess() <= 0);
      CHECK(fleet.open() == 0);
      CHECK(fleet.placed_twice() == 0);
      if (load < 1) {
        CHECK(fleet.refused() == 0);
      }
    }
  }
}

// Guards against a fleet whose slots are left unused while requests are
// refused.
TEST_CASE("an overloaded fleet keeps its slots in use") {
  const FleetSimulationOptions options{.hosts_per_data_centre = 50,
                                       .upstreams_per_data_centre = 40,
                                       .slots = 6,
                                       .seed = 3};
  FleetSimulation fleet(options);
  Random random(1);
  fleet.Run(seconds(1));
  SubmitLoad(fleet, options, 1.6, seconds(3), random);
  double used = 0;
  SubmitLoad(fleet, options, 1.6, seconds(3), random,
             [&](int) { used += fleet.executing(); });
  CHECK(used / (3000.0 * 240) > 0.97);
  CHECK(fleet.largest_excess() <= 0);
}

struct Fault {
  std::string name;
  // What happens at each millisecond of the run.
  std::function<void(FleetSimulation&, Random&, int)> at_ms;
  double loss = 0;
};

std::vector<Fault> Faults() {
  return {
      {"lost messages", [](FleetSimulation&, Random&, int) {}, 0.1},
      {"the coordinator dies and returns",
       [](FleetSimulation& fleet, Random&, int ms) {
         if (ms == 1000) {
           fleet.Kill(fleet.IndexOf(fleet.CoordinatorOf(0)));
         }
         if (ms == 3000) {
           for (int n = 0; n < 2; ++n) {
             fleet.Kill(n);
             fleet.Start(n);
           }
         }
       }},
      {"the coordinator is paused",
       [](FleetSimulation& fleet, Random&, int ms) {
         if (ms % 1500 == 500) {
           fleet.Freeze(fleet.IndexOf(fleet.CoordinatorOf(0)), seconds(1));
         }
       }},
      {"all that can be coordinators die",
       [](FleetSimulation& fleet, Random&, int ms) {
         for (int n = 0; n < fleet.host_count() && ms == 1000; ++n) {
           if (n % 10 < 4) {
             fleet.Kill(n);
           }
         }
       }},
      {"hosts die and return at random",
       [](FleetSimulation& fleet, Random& random, int ms) {
         if (ms % 100 == 0) {
           const int host = RandomHost(fleet, random);
           fleet.Kill(host);
           fleet.Start(host);
         }
       }},
      {"hosts are paused at random",
       [](FleetSimulation& fleet, Random& random, int ms) {
         if (ms % 50 == 0) {
           fleet.Freeze(RandomHost(fleet, random),
                        milliseconds(200 + random.NextBelow(1500)));
         }
       },
       0.02},
      {"hosts return while their coordinator is paused",
       [](FleetSimulation& fleet, Random&, int ms) {
         if (ms % 1000 != 300) {
           return;
         }
         const int coordinator = fleet.IndexOf(fleet.CoordinatorOf(0));
         fleet.Freeze(coordinator, milliseconds(700));
         for (int n = 0; n < fleet.host_count(); n += 2) {
           if (n != coordinator) {
             fleet.Kill(n);
             fleet.Start(n);
           }
         }
       }},
      {"callers leave while hosts are paused",
       [](FleetSimulation& fleet, Random& random, int ms) {
         if (ms % 50 == 0) {
           fleet.Freeze(RandomHost(fleet, random), milliseconds(120));
         }
         // Mostly one that waits.
         const std::uint64_t newest = fleet.submitted();
         fleet.Cancel(newest - std::min(newest, random.NextBelow(200)));
       }},
      {"data centres are cut off from each other",
       [](FleetSimulation& fleet, Random&, int ms) {
         fleet.SetPartitioned(ms >= 1000 && ms < 3000);
       }},
      {"the coordinator drains",
       [](FleetSimulation& fleet, Random&, int ms) {
         if (ms == 1000) {
           fleet.Drain(fleet.IndexOf(fleet.CoordinatorOf(0)));
         }
       }},
  };
}

// Guards against requests that are held, lost or sent twice while hosts and
// messages fail. A request waits at most until its caller gives up, four times
// its target; a paused host is late by its pause.
TEST_CASE("each request is placed once or refused in time, whatever fails") {
  for (const Fault& fault : Faults()) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      CAPTURE(fault.name);
      CAPTURE(seed);
      const FleetSimulationOptions options{.data_centres = 3,
                                           .hosts_per_data_centre = 10,
                                           .upstreams_per_data_centre = 10,
                                           .services = 2,
                                           .seed = seed,
                                           .loss = fault.loss};
      FleetSimulation fleet(options);
      Random random(seed);
      fleet.Run(seconds(1));
      SubmitLoad(fleet, options, seed % 2 == 0 ? 0.7 : 1.4, seconds(4), random,
                 [&](int ms) { fault.at_ms(fleet, random, ms); });
      fleet.SetPartitioned(false);
      fleet.Run(seconds(6));
      CHECK(fleet.open() == 0);
      CHECK(fleet.placed_twice() == 0);
      CHECK(fleet.misplaced() == 0);
      CHECK(fleet.places_taken() == 0);
      CHECK(fleet.longest_wait() <= options.target * 4 + seconds(2));
      // Upstreams queue a few more requests than they execute.
      CHECK(fleet.largest_excess() <= 3 * options.slots);
    }
  }
}

// Guards against requests that wait for a coordinator that is gone: their
// callers notice a few tens of milliseconds at most.
TEST_CASE("a dead coordinator delays a request by tens of milliseconds") {
  struct Case {
    std::string title;
    int dead;
  };
  for (const Case& it : std::vector<Case>{
           {"the first", 1}, {"the first two", 2}, {"all candidates", 3}}) {
    CAPTURE(it.title);
    const FleetSimulationOptions options{.hosts_per_data_centre = 10,
                                         .upstreams_per_data_centre = 20,
                                         .seed = 5};
    FleetSimulation fleet(options);
    fleet.Run(seconds(1));
    for (int n = 0; n < it.dead; ++n) {
      fleet.Kill(fleet.IndexOf(fleet.CoordinatorOf(9)));
      if (n + 1 < it.dead) {
        // The next candidate is the one that the hosts turn to.
        fleet.Submit(9);
        fleet.Run(milliseconds(60));
      }
    }
    for (int n = 0; n < 10; ++n) {
      fleet.Submit(n);
    }
    fleet.Run(milliseconds(130));
    CHECK(fleet.open() == 0);
    CHECK(fleet.refused() == 0);
  }
}

// Guards against a grant that is used long after it was given: the host was
// paused, and the slot has gone to another request.
TEST_CASE("a grant that arrives during a pause is not used after it") {
  const FleetSimulationOptions options{.hosts_per_data_centre = 5,
                                       .upstreams_per_data_centre = 1,
                                       .slots = 2,
                                       .seed = 5,
                                       .max_execution = seconds(10)};
  FleetSimulation fleet(options);
  fleet.Run(seconds(1));
  const int host = 4;
  fleet.Submit(host);
  fleet.Run(milliseconds(2));
  fleet.Freeze(host, seconds(3));
  fleet.Run(milliseconds(2000));
  // The host is silent for so long that its slot is given to others.
  fleet.Submit(0);
  fleet.Submit(1);
  fleet.Run(milliseconds(1500));
  CHECK(fleet.placed() == 2);
  fleet.Run(seconds(2));
  CHECK(fleet.largest_excess() <= 0);
  CHECK(fleet.open() == 0);
}

// Guards against slots that stay taken for good: of a request whose caller
// leaves between its grant and its sending, nothing is sent that could end.
TEST_CASE("a slot granted to a caller that leaves is free again") {
  const FleetSimulationOptions options{
      .hosts_per_data_centre = 3, .upstreams_per_data_centre = 1, .seed = 5};
  FleetSimulation fleet(options);
  fleet.Run(seconds(1));
  for (int n = 0; n < options.slots; ++n) {
    fleet.Submit(1);
  }
  fleet.Run(milliseconds(50));
  REQUIRE(fleet.executing() == options.slots);
  std::vector<std::uint64_t> waiting;
  for (int n = 0; n < options.slots; ++n) {
    waiting.push_back(fleet.Submit(2));
  }
  fleet.Run(milliseconds(50));
  fleet.Freeze(2, milliseconds(500));
  fleet.Run(milliseconds(450));
  for (const std::uint64_t it : waiting) {
    fleet.Cancel(it);
  }
  fleet.Run(seconds(1));
  CHECK(fleet.places_taken() == 0);
  fleet.Submit(0);
  fleet.Run(milliseconds(50));
  CHECK(fleet.placed() == options.slots + 1);
}

// Guards against messages that grow with the square of the hosts, as they did
// when each host reported to all others.
TEST_CASE("messages grow with hosts and requests, not with their product") {
  struct Point {
    int hosts;
    std::uint64_t messages;
  };
  std::vector<Point> points;
  for (const int hosts : {5, 50}) {
    const FleetSimulationOptions options{.data_centres = 6,
                                         .hosts_per_data_centre = hosts,
                                         .upstreams_per_data_centre = 40,
                                         .slots = 6,
                                         .seed = 9};
    FleetSimulation fleet(options);
    Random random(1);
    fleet.Run(seconds(1));
    const std::uint64_t before = fleet.messages();
    SubmitLoad(fleet, options, 0.5, seconds(2), random);
    fleet.Run(seconds(1));
    points.push_back(
        {.hosts = 6 * hosts, .messages = fleet.messages() - before});
    CHECK(fleet.open() == 0);
    CHECK(fleet.refused() == 0);
  }
  // Ten times the hosts with the same requests.
  CHECK(points[1].messages < 6 * points[0].messages);
}

}  // namespace
}  // namespace flamingogauge
