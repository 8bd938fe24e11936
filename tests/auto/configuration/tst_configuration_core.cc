#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>

#include "tests/auto/configuration/cluster_fixture.h"
#include "tests/auto/document/sample_document.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ConfigurationSettings kSampleSettings{.initial_document_text =
                                                kSampleDocument};

SectionEdit PolicyEdit(int weight, std::uint64_t expected, std::string author) {
  return {.section = "policy",
          .text = R"({"goodput_weight": )" + std::to_string(weight) + "}",
          .expected_revision = expected,
          .author = std::move(author)};
}

SectionEdit LimitsEdit(int claims, std::uint64_t expected, std::string author) {
  return {.section = "limits",
          .text = R"({"claims_per_second": )" + std::to_string(claims) + "}",
          .expected_revision = expected,
          .author = std::move(author)};
}

// Three hosts in each of two data centres, with the sample in force.
class RunningCluster {
 public:
  explicit RunningCluster(std::uint64_t seed = 1)
      : cluster(seed, kSampleSettings) {
    for (const char* it : {"a1", "a2", "a3"}) {
      cluster.StartHost(it, "aarhus");
    }
    for (const char* it : {"o1", "o2", "o3"}) {
      cluster.StartHost(it, "odense");
    }
    REQUIRE(cluster.RunUntil([&] { return cluster.AllHave(1); }, seconds(6)));
  }
  ~RunningCluster() { CHECK(cluster.violations.empty()); }

  Cluster cluster;
};

// Guards against an edit that does not reach the other hosts, and against every
// host watching the store.
TEST_CASE("An accepted edit is in force everywhere within 6 seconds") {
  RunningCluster fixture;
  Cluster& cluster = fixture.cluster;
  cluster.runner->RunFor(seconds(60));
  const std::uint64_t calls = cluster.store.CallCount();
  cluster.runner->RunFor(seconds(60));
  // Two watchers in each data centre, each with a read and a watch in 20 s.
  CHECK(cluster.store.CallCount() - calls <= 4 * 2 * (60 / 20 + 1));
  const auto outcome = cluster.Apply("a3", PolicyEdit(7, 1, "lead"));
  REQUIRE(outcome.has_value());
  CHECK(outcome.value().revision == 2);
  CHECK(cluster.RunUntil([&] { return cluster.AllHave(2); }, seconds(6)));
  CHECK(cluster.core("o2").Current()->policy.goodput_weight == 7);
}

// Guards against edits that overwrite each other, and against refusals of edits
// that do not touch each other.
TEST_CASE("Racing edits merge by section and conflict within one") {
  RunningCluster fixture;
  Cluster& cluster = fixture.cluster;
  std::vector<Result<EditOutcome>> outcomes;
  const auto record = [&](Result<EditOutcome> it) {
    outcomes.push_back(std::move(it));
  };
  const auto both_done = [&] { return outcomes.size() == 2; };
  cluster.store.SetFaults({.delay = milliseconds(40)});
  SUBCASE("different sections") {
    cluster.core("a1").Apply(PolicyEdit(3, 1, "lead"), record);
    cluster.core("o1").Apply(LimitsEdit(9, 1, "operations"), record);
    REQUIRE(cluster.RunUntil(both_done, seconds(10)));
    CHECK(outcomes[0].value().revision == 2);
    CHECK(outcomes[1].value().revision == 3);
    REQUIRE(cluster.RunUntil([&] { return cluster.AllHave(3); }, seconds(6)));
    const auto document = cluster.core("o2").Current();
    CHECK(document->policy.goodput_weight == 3);
    CHECK(document->limits.claims_per_second == 9);
  }
  SUBCASE("the same section") {
    cluster.core("a1").Apply(PolicyEdit(3, 1, "lead"), record);
    cluster.core("o1").Apply(PolicyEdit(4, 1, "operations"), record);
    REQUIRE(cluster.RunUntil(both_done, seconds(10)));
    CHECK(outcomes[0].value().revision == 2);
    CHECK(outcomes[1].value().revision == 0);
    CHECK(outcomes[1].value().conflict.find("revision 2") != std::string::npos);
    CHECK(outcomes[1].value().conflict.find("revision 1") != std::string::npos);
  }
}

// Guards against invalid edits that are accepted, in particular those that
// break a reference from another section.
TEST_CASE("Edits are validated on the merged document") {
  RunningCluster fixture;
  const auto outcome = fixture.cluster.Apply(
      "a1", {.section = "models",
             .text = R"([{"id": "m9", "max_context": 5}])",
             .expected_revision = 1,
             .author = "operations"});
  REQUIRE(outcome.has_value());
  CHECK(outcome.value().revision == 0);
  REQUIRE(outcome.value().faults.size() == 2);
  CHECK(outcome.value().faults[0].allowed.find("max_context_tokens") !=
        std::string::npos);
  CHECK(outcome.value().faults[1].section == "upstreams");
  const auto unknown = fixture.cluster.Apply(
      "a1", {.section = "model", .text = "[]", .author = "operations"});
  CHECK(unknown.value().faults.at(0).allowed.find("\"models\"") !=
        std::string::npos);
  CHECK(fixture.cluster.Revision("a1") == 1);
}

// Guards against an edit that is accepted twice or reported as refused when
// only its answer was lost, also while the update is still on its way.
TEST_CASE("A lost answer on acceptance is settled") {
  for (const Duration late : {Duration::zero(), Duration(seconds(2))}) {
    RunningCluster fixture;
    Cluster& cluster = fixture.cluster;
    // The first two changes are the chunk and the copy of the old manifest.
    cluster.store.SetFaults({.lost_answers = 3, .lost_change_delay = late});
    const auto outcome = cluster.Apply("a1", PolicyEdit(5, 1, "lead"));
    REQUIRE(outcome.has_value());
    CHECK(outcome.value().revision == 2);
    REQUIRE(cluster.RunUntil([&] { return cluster.AllHave(2); }, seconds(6)));
    cluster.runner->RunFor(seconds(10));
    CHECK(cluster.AllHave(2));
  }
}

// Guards against an edit reported as unavailable although it was accepted, and
// against an endless wait for the store.
TEST_CASE("An edit without the store ends with a true error") {
  RunningCluster fixture;
  Cluster& cluster = fixture.cluster;
  cluster.store.SetFaults({.outage = true});
  const auto refused = cluster.Apply("a1", PolicyEdit(5, 1, "lead"));
  REQUIRE_FALSE(refused.has_value());
  CHECK(refused.error().code == ErrorCode::kUnavailable);
  // The update is on its way for longer than the edit may take.
  cluster.store.SetFaults(
      {.lost_answer_probability = 1, .lost_change_delay = seconds(30)});
  const auto unknown = cluster.Apply("a1", PolicyEdit(6, 1, "lead"));
  REQUIRE_FALSE(unknown.has_value());
  cluster.store.SetFaults({});
  cluster.runner->RunFor(seconds(90));
  const bool was_accepted = cluster.Revision("a1") == 2;
  CHECK((!was_accepted || unknown.error().code == ErrorCode::kUnknownOutcome));
}

// Guards against a host that cannot start while the store is down, and against
// a start that waits for the time limit although all peers have answered.
TEST_CASE("A host that starts without the store gets the document from peers") {
  RunningCluster fixture;
  Cluster& cluster = fixture.cluster;
  REQUIRE(cluster.Apply("a1", PolicyEdit(5, 1, "lead")).value().revision == 2);
  REQUIRE(cluster.RunUntil([&] { return cluster.AllHave(2); }, seconds(6)));
  cluster.store.SetFaults({.outage = true});
  cluster.StartHost("a9", "aarhus");
  CHECK(cluster.RunUntil([&] { return cluster.Revision("a9") == 2; },
                         milliseconds(1500)));
  // With a silent peer the round ends at its time limit.
  cluster.CutFromPeers("o1", true);
  cluster.CutFromPeers("a2", true);
  cluster.StartHost("a9", "aarhus");
  CHECK(cluster.RunUntil([&] { return cluster.Revision("a9") == 2; },
                         seconds(5)));
}

// Guards against a host that stays behind after it was cut off.
TEST_CASE("A host that was cut off catches up") {
  RunningCluster fixture;
  Cluster& cluster = fixture.cluster;
  cluster.CutFromPeers("a1", true);
  cluster.CutFromStore("a1", true);
  REQUIRE(cluster.Apply("o1", PolicyEdit(5, 1, "lead")).value().revision == 2);
  cluster.runner->RunFor(seconds(10));
  CHECK(cluster.Revision("a1") == 1);
  cluster.CutFromPeers("a1", false);
  cluster.CutFromStore("a1", false);
  CHECK(cluster.RunUntil([&] { return cluster.AllHave(2); }, seconds(6)));
}

// Guards against a revision in force that decreases, and against accepted edits
// that are overwritten, when the store is restored to an older state.
TEST_CASE("A store with a lower revision is not followed") {
  RunningCluster fixture;
  Cluster& cluster = fixture.cluster;
  const ObjectTable old = cluster.store.Snapshot();
  REQUIRE(cluster.Apply("a1", PolicyEdit(5, 1, "lead")).value().revision == 2);
  REQUIRE(cluster.RunUntil([&] { return cluster.AllHave(2); }, seconds(6)));
  cluster.store.SetFaults({.outage = true});
  cluster.store.Restore(old);
  cluster.runner->RunFor(seconds(5));
  cluster.store.SetFaults({});
  cluster.runner->RunFor(seconds(60));
  CHECK(cluster.AllHave(2));
  const auto outcome = cluster.Apply("o1", LimitsEdit(5, 2, "operations"));
  REQUIRE_FALSE(outcome.has_value());
  CHECK(outcome.error().message.find("the store holds revision 1") !=
        std::string::npos);
  bool reported = false;
  for (const HostId& it : cluster.Hosts()) {
    reported = reported ||
               cluster.core(it).DumpState().find("older one is not followed") !=
                   std::string::npos;
  }
  CHECK(reported);
}

// Guards against earlier revisions that cannot be read any more, and against a
// history that does not name authors.
TEST_CASE("Earlier revisions and the history can be read") {
  RunningCluster fixture;
  Cluster& cluster = fixture.cluster;
  REQUIRE(cluster.Apply("a1", PolicyEdit(5, 1, "lead")).value().revision == 2);
  std::vector<Result<std::string>> texts;
  const auto record = [&](Result<std::string> it) {
    texts.push_back(std::move(it));
  };
  for (const std::uint64_t revision : {0, 1, 99}) {
    cluster.core("a1").GetText(revision, record);
    REQUIRE(cluster.RunUntil([&] { return !texts.empty(); }, seconds(5)));
    cluster.runner->RunFor(seconds(1));
  }
  cluster.core("a1").GetHistory(record);
  cluster.runner->RunFor(seconds(1));
  REQUIRE(texts.size() == 4);
  CHECK(texts[0].value().find(R"("goodput_weight":5.0)") != std::string::npos);
  CHECK(texts[1].value().find(R"("goodput_weight":2.0)") != std::string::npos);
  CHECK(texts[2].error().code == ErrorCode::kNotFound);
  CHECK(texts[3].value().starts_with(R"([{"revision":2,"author":"lead")"));
}

// Guards against distribution that only works for small documents: at the
// target size, chunks have to fit in the store's values and reach hosts through
// peers.
TEST_CASE("A document with 31,000 workspaces spreads to all hosts") {
  RunningCluster fixture;
  Cluster& cluster = fixture.cluster;
  // Fewer hosts suffice, and each of them checks the whole document.
  cluster.StopHost("o2");
  cluster.StopHost("o3");
  // Until then, hosts that started before they knew each other all watch.
  cluster.runner->RunFor(seconds(30));
  const std::uint64_t peer_calls = cluster.PeerCallCount();
  const auto outcome = cluster.Apply("a1", {.section = "workspaces",
                                            .text = ManyWorkspaces(31000),
                                            .expected_revision = 1,
                                            .author = "business"});
  REQUIRE(outcome.has_value());
  REQUIRE(outcome.value().revision == 2);
  CHECK(cluster.RunUntil([&] { return cluster.AllHave(2); }, seconds(6)));
  const std::uint64_t calls = cluster.store.CallCount();
  const auto second = cluster.Apply("o1", {.section = "workspaces",
                                           .text = ManyWorkspaces(31000, 5),
                                           .expected_revision = 2,
                                           .author = "business"});
  REQUIRE(second.value().revision == 3);
  CHECK(cluster.RunUntil([&] { return cluster.AllHave(3); }, seconds(6)));
  // The hosts that do not watch fetch from those that do.
  CHECK(cluster.PeerCallCount() > peer_calls);
  // One changed bucket, the old manifest's copy, and the manifest; the rest are
  // reads by watchers.
  CHECK(cluster.store.CallCount() - calls < 40);
}

}  // namespace
}  // namespace flamingogauge
