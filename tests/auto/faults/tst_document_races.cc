#include <doctest/doctest.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "tests/auto/end_to_end/deployment.h"
#include "tests/fakes/fake_engine/fake_text.h"

namespace flamingogauge {
namespace {

using nlohmann::json;

json Document(const Deployment& deployment, std::size_t host) {
  return json::parse(deployment.AskOperators(host, "GET", "/document").body,
                     nullptr, false);
}

std::uint64_t Revision(const Deployment& deployment, std::size_t host) {
  return json::parse(deployment.AskOperators(host, "GET", "/status").body,
                     nullptr, false)
      .value("document_revision", std::uint64_t{0});
}

TestAnswer Apply(const Deployment& deployment,
                 std::size_t host,
                 const std::string& section,
                 std::uint64_t expected_revision,
                 const json& content) {
  return deployment.AskOperators(
      host, "POST",
      "/document/" + section + "?expected_revision=" +
          std::to_string(expected_revision) + "&author=test",
      content.dump());
}

std::size_t ExecutionsAt(const std::string& engine) {
  const json executions = json::parse(
      Ask(engine, FormatTestRequest("GET", "/executions", {}, "")).body);
  return executions["by_request"].size();
}

// Guards against an accepted edit that a concurrent edit overwrites, and
// against two accepted edits of a section that are based on the same revision
// (I8).
TEST_CASE("concurrent edits are merged or refused and never lost") {
  Deployment deployment({.hosts = 2});
  const json document = Document(deployment, 0);
  const std::uint64_t revision = Revision(deployment, 0);
  json policy_a = document["policy"];
  json policy_b = document["policy"];
  policy_a["retry_budget"] = 0.05;
  policy_b["retry_budget"] = 0.2;
  json tiers = document["tiers"];
  tiers[1]["name"] = "renamed";
  TestAnswer answers[3];
  std::thread first(
      [&] { answers[0] = Apply(deployment, 0, "policy", revision, policy_a); });
  std::thread second(
      [&] { answers[1] = Apply(deployment, 1, "policy", revision, policy_b); });
  std::thread third(
      [&] { answers[2] = Apply(deployment, 1, "tiers", revision, tiers); });
  first.join();
  second.join();
  third.join();
  CHECK(answers[2].status == 200);
  const int accepted = (answers[0].status == 200) + (answers[1].status == 200);
  CHECK(accepted == 1);
  const std::size_t winner = answers[0].status == 200 ? 0 : 1;
  CHECK(answers[1 - winner].status == 409);
  CHECK(answers[1 - winner].body.find(std::to_string(revision)) !=
        std::string::npos);
  // Both hosts apply both accepted edits. The target for this is 2 s; the test
  // waits up to 20 s.
  for (std::size_t host = 0; host < 2; ++host) {
    CHECK(Eventually([&deployment, host, revision] {
      return Revision(deployment, host) == revision + 2;
    }));
    const json now = Document(deployment, host);
    CHECK(now["policy"]["retry_budget"] == (winner == 0 ? 0.05 : 0.2));
    CHECK(now["tiers"][1]["name"] == "renamed");
  }
}

// Guards against new requests that are sent to a leaving upstream, and against
// truncation of the streams that it still serves (I6, I7).
TEST_CASE("a leaving upstream gets no new requests and completes its streams") {
  Deployment deployment(
      {.hosts = 2,
       .engines = 2,
       .engine_arguments = {"--decode_tokens_per_second=50"}});
  std::vector<std::thread> callers;
  std::vector<int> is_expected(12, 0);
  for (int it = 0; it < 12; ++it) {
    callers.emplace_back([&deployment, &is_expected, it] {
      const std::string prompt = "leaving " + std::to_string(it);
      const TestAnswer answer =
          Ask(deployment.host(it % 2).callers, ChatRequest(prompt, true, 250));
      is_expected[it] = AnswerText(answer) == FakeAnswer(prompt, 250) ? 1 : 0;
    });
  }
  REQUIRE(Eventually(
      [&] { return ExecutionsAt(deployment.engine_address(0)) > 0; }));
  json upstreams = Document(deployment, 0)["upstreams"];
  for (json& it : upstreams) {
    if (it["id"] == "engine-1") {
      it["leaving"] = true;
    }
  }
  REQUIRE(Apply(deployment, 0, "upstreams", Revision(deployment, 0), upstreams)
              .status == 200);
  std::this_thread::sleep_for(std::chrono::seconds(2));
  const std::size_t before = ExecutionsAt(deployment.engine_address(0));
  for (int it = 0; it < 20; ++it) {
    const std::string prompt = "new " + std::to_string(it);
    CHECK(AnswerText(Ask(deployment.host(it % 2).callers,
                         ChatRequest(prompt, false, 3))) ==
          FakeAnswer(prompt, 3));
  }
  CHECK(ExecutionsAt(deployment.engine_address(0)) == before);
  for (std::thread& it : callers) {
    it.join();
  }
  for (std::size_t it = 0; it < is_expected.size(); ++it) {
    CAPTURE(it);
    CHECK(is_expected[it] == 1);
  }
}

}  // namespace
}  // namespace flamingogauge
