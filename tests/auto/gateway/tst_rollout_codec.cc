#include <doctest/doctest.h>

#include <variant>

#include "plugins/gateway/coordination_codec.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

template <typename T>
T RoundTrip(const T& message) {
  const Result<CoordinationMessage> read =
      DecodeCoordinationMessage(EncodeCoordinationMessage(message));
  REQUIRE(read);
  REQUIRE(std::holds_alternative<T>(read.value()));
  return std::get<T>(read.value());
}

RolloutReport SampleReport() {
  RolloutReport report;
  report.rollouts.push_back({.service = "s",
                             .target = "v2",
                             .order = 1ULL << 63U,
                             .revision = 1ULL << 40U,
                             .duration = milliseconds(12000),
                             .age = milliseconds(3456),
                             .permission_age = milliseconds(0),
                             .from = {"v1", ""},
                             .phase = RolloutPhase::kComplete,
                             .outcome = RolloutOutcome::kRolledBack,
                             .is_bad = true,
                             .reason = "slow",
                             .is_withdrawn = true,
                             .old_running = 17,
                             .hosts_behind = 3});
  report.rollouts.push_back({.service = "t", .target = "v9"});
  EvidenceCount count{.order = 5,
                      .route = 6,
                      .upstream = 1ULL << 62U,
                      .answers = 100000,
                      .failures = 7};
  count.durations[0] = 1;
  count.durations[kDurationBins - 1] = 70000;
  report.evidence.push_back(count);
  return report;
}

// Guards against fields that are lost or mixed up between hosts.
TEST_CASE("what hosts tell of roll-outs arrives as it was sent") {
  const RolloutReport report = SampleReport();
  CHECK(RoundTrip(HostMessage{.host = "h", .rollouts = report}).rollouts ==
        report);
  CHECK(RoundTrip(FleetSummary{.coordinator = "h", .rollouts = report})
            .rollouts == report);
  CHECK(RoundTrip(DataCentreReport{.summary = {.rollouts = report}})
            .summary.rollouts == report);
}

// Guards against messages that grow without a roll-out.
TEST_CASE("no roll-out takes a few bytes") {
  const RolloutReport none;
  CHECK(RoundTrip(HostMessage{.host = "h"}).rollouts == none);
  RolloutReport report = SampleReport();
  const std::size_t empty =
      EncodeCoordinationMessage(FleetSummary{.coordinator = "h"}).size();
  const std::size_t full =
      EncodeCoordinationMessage(
          FleetSummary{.coordinator = "h", .rollouts = report})
          .size();
  report.evidence.clear();
  const std::size_t without_evidence =
      EncodeCoordinationMessage(
          FleetSummary{.coordinator = "h", .rollouts = report})
          .size();
  CAPTURE(empty);
  CHECK(empty < 80);
  CHECK(without_evidence < empty + 200);
  CHECK(full < without_evidence + 80);
}

}  // namespace
}  // namespace flamingogauge
