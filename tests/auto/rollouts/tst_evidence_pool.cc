#include <doctest/doctest.h>

#include <chrono>
#include <vector>

#include "libs/rollouts/evidence_pool.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

std::uint32_t Answers(const EvidencePool& pool, std::uint64_t order = 1) {
  std::uint32_t answers = 0;
  for (const auto& [key, count] : pool.Of(order)) {
    answers += count.answers;
  }
  return answers;
}

std::vector<EvidenceCount> Totals(std::uint32_t answers) {
  return {{.order = 1, .route = 2, .upstream = 3, .answers = answers}};
}

// Guards against answers that are counted twice or forgotten when messages are
// repeated or lost, and when hosts restart.
TEST_CASE("totals of hosts replace earlier ones and outlive their process") {
  EvidencePool pool;
  pool.OnHost("a", 10, Totals(4));
  pool.OnHost("a", 10, Totals(4));
  pool.OnHost("b", 20, Totals(1));
  CHECK(Answers(pool) == 5);
  pool.OnHost("a", 10, Totals(7));
  // A message without evidence changes nothing.
  pool.OnHost("a", 10, {});
  CHECK(Answers(pool) == 8);
  pool.OnHost("a", 11, {});
  CHECK(Answers(pool) == 8);
  pool.OnHost("a", 11, Totals(2));
  CHECK(Answers(pool) == 10);
  pool.OnDataCentre("d", Totals(30));
  pool.OnDataCentre("d", Totals(31));
  CHECK(Answers(pool) == 41);
  CHECK(pool.Nearby().front().answers == 10);
  pool.KeepOnly({2});
  CHECK(Answers(pool) == 0);
}

// Guards against a host without messages that does not see its own failures.
TEST_CASE("a host that nobody reports to judges by its own answers") {
  EvidencePool pool;
  pool.Record(1, 7, {.route = 2, .took = milliseconds(50)});
  pool.Record(1, 7, {.route = 2, .took = milliseconds(50), .succeeded = false});
  const auto counts = pool.Of(1);
  REQUIRE(counts.size() == 1);
  CHECK(counts.begin()->second.answers == 2);
  CHECK(counts.begin()->second.failures == 1);
  CHECK(pool.Of(5).empty());
}

// Guards against long prompts and answers that are taken for slow ones.
TEST_CASE("times are compared with those of requests of the same size") {
  struct Row {
    AnsweredRequest request;
    std::size_t bin;
  };
  const std::vector<Row> rows = {
      {{.took = milliseconds(51)}, 6},
      {{.took = milliseconds(110)}, 8},
      {{.took = milliseconds(410)}, 12},
      {{.took = milliseconds(0)}, 0},
      {{.took = std::chrono::hours(1)}, kDurationBins - 1},
      {{.took = milliseconds(1060), .prompt_tokens = 55000}, 6},
      {{.took = milliseconds(3060), .events = 100}, 6}};
  for (const Row& it : rows) {
    CAPTURE(it.request.took.count());
    CHECK(DurationBin(it.request) == it.bin);
  }
}

}  // namespace
}  // namespace flamingogauge
