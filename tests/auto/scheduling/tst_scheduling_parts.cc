#include <doctest/doctest.h>

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "libs/scheduling/prefix_map.h"
#include "libs/scheduling/rate_estimator.h"
#include "libs/scheduling/request_order.h"
#include "libs/scheduling/straggler_detector.h"
#include "libs/scheduling/upstream_state.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{seconds(1000)};

// Guards against a workspace that receives more than its weighted share of the
// tokens because it floods the queue or sends long requests.
TEST_CASE("FairQueue shares tokens by weight") {
  struct Row {
    double weight_b;
    std::uint32_t tokens_a;
    std::uint32_t tokens_b;
    double low;
    double high;
  };
  for (const Row& row :
       {Row{1, 100, 100, 0.9, 1.1}, Row{1, 9000, 100, 0.8, 1.25},
        Row{3, 200, 200, 2.7, 3.3}}) {
    CAPTURE(row.tokens_a);
    FairQueue queue;
    std::vector<std::unique_ptr<QueuedRequest>> requests;
    for (std::uint64_t it = 0; it < 40000; ++it) {
      auto request = std::make_unique<QueuedRequest>();
      const bool is_b = it % 2 == 1;
      request->arrival = it;
      request->request.workspace = is_b ? "b" : "a";
      request->request.prompt_tokens = is_b ? row.tokens_b : row.tokens_a;
      request->weight = is_b ? row.weight_b : 1;
      queue.Push(request.get());
      requests.push_back(std::move(request));
    }
    std::map<WorkspaceId, double> served;
    while (served["a"] + served["b"] < 900000) {
      QueuedRequest* head = queue.Head();
      REQUIRE(head != nullptr);
      served[head->request.workspace] += head->request.prompt_tokens;
      queue.Remove(head);
    }
    const double ratio = served["b"] / served["a"];
    CHECK(ratio > row.low);
    CHECK(ratio < row.high);
  }
}

// Guards against a slow upstream that is not stopped, a group of which more
// than half is stopped, and a recovered upstream that stays stopped.
TEST_CASE("StragglerDetector stops, retries and keeps half in use") {
  StragglerDetector detector;
  detector.Resize(4);
  for (int round = 0; round < 10; ++round) {
    for (std::size_t it = 0; it < 4; ++it) {
      detector.AddSample(kStart, it, 1);
    }
  }
  for (std::size_t it = 0; it < 3; ++it) {
    for (int round = 0; round < 6; ++round) {
      detector.AddSample(kStart, it, 10);
    }
  }
  int stopped = 0;
  for (std::size_t it = 0; it < 4; ++it) {
    stopped += detector.state(it) == StragglerState::kStopped ? 1 : 0;
  }
  CHECK(stopped == 2);
  REQUIRE(detector.state(0) == StragglerState::kStopped);
  detector.Advance(kStart + seconds(4));
  CHECK(detector.state(0) == StragglerState::kStopped);
  detector.Advance(kStart + seconds(5));
  CHECK(detector.state(0) == StragglerState::kTrial);
  detector.AddSample(kStart + seconds(6), 0, 1);
  CHECK(detector.state(0) == StragglerState::kNormal);
}

// Guards against stopping both upstreams of a group of two, one after the
// other.
TEST_CASE("StragglerDetector keeps one of two upstreams in use") {
  StragglerDetector detector;
  detector.Resize(2);
  for (int round = 0; round < 20; ++round) {
    detector.AddSample(kStart, 0, 10);
  }
  CHECK(detector.state(0) == StragglerState::kStopped);
  for (int round = 0; round < 60; ++round) {
    detector.AddSample(kStart, 1, 50);
  }
  CHECK(detector.state(1) != StragglerState::kStopped);
}

// Guards against a stale load report that makes a request count twice or hides
// external load.
TEST_CASE("UpstreamState corrects a stale load report") {
  UpstreamState upstream({.id = "u", .token_capacity = 10000});
  upstream.OnDispatched(kStart, 100, false, 0);
  upstream.OnDispatched(kStart + milliseconds(900), 100, false, 0);
  LoadReport report{.upstream = "u",
                    .running_requests = 1,
                    .tokens_in_memory = 90,
                    .age = milliseconds(500)};
  upstream.OnLoad(kStart + seconds(1), report);
  CHECK(upstream.Running() == 2);
  CHECK(upstream.Tokens() == 200);
  report.running_requests = 3;
  report.tokens_in_memory = 400;
  upstream.OnLoad(kStart + seconds(1), report);
  CHECK(upstream.Running() == 4);
  CHECK(upstream.Tokens() == 500);
}

// Guards against entries that are used after their maximum age, after an
// eviction or beyond a missing block of the prefix, and against unbounded
// growth.
TEST_CASE("PrefixMap forgets evicted, old and excess entries") {
  PrefixMap map(8);
  map.Store(kStart, 1, {1, 2, 3, 4});
  CHECK(map.CachedFractions(kStart, 2, {1, 2, 3, 4})[1] == 1.0F);
  CHECK(map.CachedFractions(kStart, 2, {1, 2, 9, 9})[1] == 0.5F);
  map.Evict(kStart + seconds(299), 1, {2});
  CHECK(map.CachedFractions(kStart, 2, {1, 2, 3, 4})[1] == 0.25F);
  CHECK(map.CachedFractions(kStart + seconds(301), 2, {1})[1] == 0.0F);
  map.Store(kStart, 0, {11, 12, 13, 14, 15, 16, 17, 18, 19});
  CHECK(map.size() == 8);
}

// Guards against estimates that do not converge to the observed rates.
TEST_CASE("RateEstimator learns gap and prefill rate") {
  RateEstimator rates;
  for (int it = 0; it < 300; ++it) {
    const double batch = it % 40 + 1;
    rates.LearnGap(batch, 0.01 + 0.001 * batch);
    rates.LearnFirstToken(1000 / rates.prefill_rate(), 0.25);
  }
  CHECK(rates.Gap(20) == doctest::Approx(0.03).epsilon(0.1));
  CHECK(rates.BatchWithin(0.059) == doctest::Approx(49).epsilon(0.1));
  CHECK(rates.prefill_rate() == doctest::Approx(4000).epsilon(0.1));
}

}  // namespace
}  // namespace flamingogauge
