#include <doctest/doctest.h>

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "libs/dispatching/dispatcher.h"

namespace flamingogauge {
namespace {

using std::chrono::seconds;

const MonotonicTime kStart = MonotonicTime() + std::chrono::hours(1);

// Admits "v1" and tries "v2" with every request, if there are upstreams to try.
class FixedGate : public VersionGate {
 public:
  bool Admits(const UpstreamEntry& upstream,
              MonotonicTime /*now*/) const override {
    return upstream.version == "v1";
  }
  bool AcceptsGrant(const UpstreamEntry& /*upstream*/,
                    MonotonicTime /*now*/) const override {
    return true;
  }
  std::vector<std::string> TrialUpstreams(
      const std::string& /*service*/,
      int /*priority*/,
      MonotonicTime /*now*/) const override {
    return trials;
  }
  void OnPlaced(const UpstreamEntry& upstream,
                int priority,
                MonotonicTime /*now*/) override {
    ++placed[upstream.version];
    last_priority = priority;
  }

  std::vector<std::string> trials;
  std::map<std::string, int> placed;
  int last_priority = -1;
};

WaitingRequest Request(std::uint64_t id, bool was_sent = false) {
  return {.id = id,
          .service = "s",
          .priority = 3,
          .arrived_at = kStart,
          .due_at = kStart + seconds(1),
          .start_by = kStart + seconds(5),
          .deadline = kStart + seconds(6),
          .was_sent = was_sent};
}

std::map<std::string, int> PlaceRequests(VersionGate* gate,
                                         bool was_sent = false) {
  Dispatcher dispatcher({.data_centre = "d", .version_gate = gate});
  dispatcher.SetUpstreams(
      {{.id = "a", .service = "s", .version = "v1", .slots = 4},
       {.id = "b", .service = "s", .version = "v2", .slots = 4}},
      kStart);
  for (std::uint64_t n = 1; n <= 6; ++n) {
    dispatcher.Enqueue(Request(n, was_sent));
  }
  std::map<std::string, int> placed;
  for (const Placement& it : dispatcher.Place(kStart)) {
    ++placed[it.upstream.version];
  }
  return placed;
}

// Guards against deployments without roll-outs in which upstreams of a new
// version get no requests.
TEST_CASE("without a gate all versions get requests") {
  const auto placed = PlaceRequests(nullptr);
  CHECK(placed.at("v1") > 0);
  CHECK(placed.at("v2") > 0);
}

// Guards against requests to versions that the gate does not admit, and against
// placements that it does not count.
TEST_CASE("the gate decides which versions get requests") {
  FixedGate closed;
  CHECK(PlaceRequests(&closed) == std::map<std::string, int>{{"v1", 4}});
  CHECK(closed.placed == std::map<std::string, int>{{"v1", 4}});
  CHECK(closed.last_priority == 3);

  FixedGate trying;
  trying.trials = {"gone", "b"};
  CHECK(PlaceRequests(&trying) ==
        std::map<std::string, int>{{"v1", 2}, {"v2", 4}});
}

// Guards against a request that fails at a bad version twice.
TEST_CASE("a request that was sent before tries no new version") {
  FixedGate trying;
  trying.trials = {"b"};
  CHECK(PlaceRequests(&trying, true) == std::map<std::string, int>{{"v1", 4}});
}

}  // namespace
}  // namespace flamingogauge
