#include <doctest/doctest.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>

#include "libs/explaining/explanation.h"

namespace flamingogauge {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

CandidateExplanation Candidate(const std::string& id, CandidateState state) {
  CandidateExplanation candidate{.upstream = id, .state = state, .places = 4};
  if (state == CandidateState::kChosen || state == CandidateState::kDearer) {
    candidate.cost = {{.name = "load", .seconds = 0.25},
                      {.name = "distance", .seconds = 0.5}};
  }
  return candidate;
}

// Guards against an answer that names another outcome than the parts it holds.
TEST_CASE("each outcome is told with its reason") {
  Explanation explanation{.host = "h1", .decided_by = "h2"};
  SUBCASE("the host starts") {
    const json answer = json::parse(FormatExplanation(explanation));
    CHECK(answer["outcome"] == "waits");
    CHECK(answer["reason"] ==
          "the host starts and has no routing document yet");
    CHECK_FALSE(answer.contains("view_age_ms"));
    CHECK_FALSE(answer.contains("candidates"));
  }
  SUBCASE("refused on arrival") {
    explanation.refusal = Explanation::Refusal{
        .status = 429, .reason = "over", .retry_after = milliseconds(700)};
    const json answer = json::parse(FormatExplanation(explanation));
    CHECK(answer["outcome"] == "refused");
    CHECK(answer["status"] == 429);
    CHECK(answer["retry_after_ms"] == 700);
  }
  SUBCASE("sent") {
    explanation.placement = PlacementExplanation{
        .candidates = {Candidate("u1", CandidateState::kChosen),
                       Candidate("u0", CandidateState::kDearer),
                       Candidate("u2", CandidateState::kFull)}};
    const json answer = json::parse(FormatExplanation(explanation));
    CHECK(answer["outcome"] == "sent");
    CHECK(answer["upstream"] == "u1");
    CHECK(answer["candidates"][0]["cost_s"] == 0.75);
    CHECK(answer["candidates"][0]["cost_parts_s"]["distance"] == 0.5);
    CHECK(answer["candidates"][2]["state"] == "full");
    CHECK_FALSE(answer["candidates"][2].contains("cost_s"));
  }
  SUBCASE("waits") {
    explanation.placement = PlacementExplanation{
        .candidates = {Candidate("u2", CandidateState::kFull)},
        .ahead = 3,
        .expected_wait = milliseconds(250)};
    const json answer = json::parse(FormatExplanation(explanation));
    CHECK(answer["outcome"] == "waits");
    CHECK(answer["expected_wait_ms"] == 250);
    CHECK(answer["ahead"] == 3);
  }
  SUBCASE("refused because it would wait too long") {
    explanation.placement = PlacementExplanation{
        .refusal = "would be late", .retry_after = milliseconds(400)};
    const json answer = json::parse(FormatExplanation(explanation));
    CHECK(answer["outcome"] == "refused");
    CHECK(answer["status"] == 503);
    CHECK(answer["reason"] == "would be late");
  }
}

// Guards against an answer that grows with the fleet, and against names that
// are not UTF-8, which a document may hold.
TEST_CASE("an answer is bounded and always JSON") {
  Explanation explanation{.route = "a\xff"};
  explanation.placement.emplace();
  for (int n = 0; n < 1000; ++n) {
    explanation.placement->candidates.push_back(
        Candidate("u" + std::to_string(n), CandidateState::kDearer));
  }
  const std::string text = FormatExplanation(explanation);
  CHECK(text.size() < 20000);
  const json answer = json::parse(text);
  CHECK(answer["candidates"].size() == Explanation::kMaxCandidates);
  CHECK(answer["candidates_not_listed"] == 936);
}

}  // namespace
}  // namespace flamingogauge
