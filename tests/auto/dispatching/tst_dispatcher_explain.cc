#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "libs/dispatching/dispatcher.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const MonotonicTime kStart = MonotonicTime() + std::chrono::hours(1);

// Admits all versions but "bad".
class FixedGate : public VersionGate {
 public:
  bool Admits(const UpstreamEntry& upstream,
              MonotonicTime /*now*/) const override {
    return upstream.version != "bad";
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
  void OnPlaced(const UpstreamEntry& /*upstream*/,
                int /*priority*/,
                MonotonicTime /*now*/) override {}

  std::vector<std::string> trials;
};

WaitingRequest Request(std::uint64_t id) {
  return {.id = id,
          .service = "s",
          .arrived_at = kStart,
          .due_at = kStart + seconds(1),
          .start_by = kStart + seconds(5),
          .deadline = kStart + seconds(6)};
}

UpstreamEntry Upstream(const std::string& id, const std::string& data_centre) {
  return {.id = id,
          .service = "s",
          .data_centre = data_centre,
          .version = "v1",
          .slots = 2};
}

std::map<std::string, std::string> States(
    const PlacementExplanation& explanation) {
  std::map<std::string, std::string> states;
  for (const CandidateExplanation& it : explanation.candidates) {
    states[it.upstream] = ToString(it.state);
  }
  return states;
}

// Guards against an answer with a wrong reason, or without one.
TEST_CASE("each upstream is listed with the reason why it is not chosen") {
  FixedGate gate;
  Dispatcher dispatcher({.data_centre = "d", .version_gate = &gate});
  UpstreamEntry draining = Upstream("draining", "d");
  draining.draining = true;
  UpstreamEntry bad = Upstream("bad", "d");
  bad.version = "bad";
  dispatcher.SetUpstreams(
      {Upstream("near", "d"), Upstream("far", "e"), Upstream("full", "d"),
       Upstream("suspect", "d"), Upstream("pausing", "d"),
       Upstream("leaving", "d"), Upstream("tried", "d"),
       Upstream("limited", "d"), draining, bad},
      kStart);
  dispatcher.OnPeerLoad("h2", {{PeerUpstreamKey("full"), 2}}, kStart);
  dispatcher.RecordResult(PeerUpstreamKey("suspect"),
                          DispatchResult::kTransportError, kStart);
  dispatcher.RecordResult(PeerUpstreamKey("leaving"), DispatchResult::kLeaving,
                          kStart);
  dispatcher.OnRateLimit("limited",
                         {.requests_per_second = 2, .stated_at = kStart});
  dispatcher.HoldBackUntil("pausing", kStart + seconds(1));
  WaitingRequest request = Request(1);
  request.excluded_upstreams = {"tried"};
  const PlacementExplanation explanation =
      dispatcher.Explain(request, kStart + milliseconds(10));
  CHECK(States(explanation) ==
        std::map<std::string, std::string>{{"near", "chosen"},
                                           {"far", "dearer"},
                                           {"full", "full"},
                                           {"limited", "rate limited"},
                                           {"suspect", "suspect"},
                                           {"pausing", "held back"},
                                           {"leaving", "leaving"},
                                           {"tried", "tried before"},
                                           {"draining", "draining"},
                                           {"bad", "version not admitted"}});
  REQUIRE(explanation.Chosen() != nullptr);
  CHECK(explanation.Chosen()->upstream == "near");
  CHECK(explanation.refusal.empty());
  CHECK(explanation.candidates[1].upstream == "far");
  CHECK(explanation.candidates[1].TotalCost() >
        explanation.candidates[0].TotalCost());
  CHECK(dispatcher.OldestReport() == kStart);
  gate.trials = {"bad"};
  CHECK(States(dispatcher.Explain(Request(1), kStart))["bad"] ==
        "chosen for trial");
}

// Guards against an answer that says something else than what a request gets,
// and against answers that change what requests get.
TEST_CASE("an answer agrees with what happens, and changes nothing") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    const auto make = [seed] {
      Dispatcher dispatcher({.data_centre = "d", .seed = seed});
      dispatcher.SetUpstreams({Upstream("a", "d"), Upstream("b", "e")}, kStart);
      return dispatcher;
    };
    Dispatcher asked = make();
    Dispatcher silent = make();
    for (std::uint64_t id = 1; id <= 30; ++id) {
      const MonotonicTime now = kStart + milliseconds(id);
      PlacementExplanation explanation;
      for (int n = 0; n < 3; ++n) {
        explanation = asked.Explain(Request(id), now);
      }
      asked.Enqueue(Request(id));
      silent.Enqueue(Request(id));
      const std::vector<Placement> placed = asked.Place(now);
      const std::vector<Placement> expected = silent.Place(now);
      REQUIRE(placed.size() == expected.size());
      const std::vector<Rejection> rejected = asked.Reject(now);
      const std::vector<Rejection> expected_rejected = silent.Reject(now);
      REQUIRE(rejected.size() == expected_rejected.size());
      if (!placed.empty()) {
        CHECK(placed[0].upstream.id == expected[0].upstream.id);
        REQUIRE(explanation.Chosen() != nullptr);
        // The data centres differ by more than the random part of the cost.
        CHECK(placed[0].upstream.id == explanation.Chosen()->upstream);
        continue;
      }
      CHECK(explanation.Chosen() == nullptr);
      const auto own =
          std::find_if(rejected.begin(), rejected.end(),
                       [id](const Rejection& it) { return it.request == id; });
      CHECK((own != rejected.end()) == !explanation.refusal.empty());
      if (own != rejected.end()) {
        CHECK(own->reason == explanation.refusal);
        CHECK(
            own->retry_after ==
            expected_rejected[static_cast<std::size_t>(own - rejected.begin())]
                .retry_after);
        CHECK(own->retry_after >= milliseconds(400));
      }
    }
  }
}

// Guards against a question that fails where there is nothing to choose from.
TEST_CASE("a service without upstreams is explained") {
  const Dispatcher dispatcher({.data_centre = "d"});
  const PlacementExplanation explanation =
      dispatcher.Explain(Request(1), kStart);
  CHECK(explanation.candidates.empty());
  CHECK(explanation.Chosen() == nullptr);
  CHECK_FALSE(dispatcher.OldestReport().has_value());
}

}  // namespace
}  // namespace flamingogauge
