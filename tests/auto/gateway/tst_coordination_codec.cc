#include <doctest/doctest.h>

#include <string>
#include <variant>

#include "libs/dispatching/crash_quarantine.h"
#include "libs/kernel/random.h"
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

CrashEvidence TestEvidence() {
  const SuspectKey part{.kind = SuspectKey::Kind::kPromptPart,
                        .id = 1ULL << 63U};
  return {.crashes = {{.upstream = 2,
                       .keys = {.request = 1, .prompt_parts = {7, 8}},
                       .age = milliseconds(1200)}},
          .sound = {{.key = part, .age = milliseconds(30)}},
          .quarantined = {
              {.key = {.id = 5}, .age = milliseconds(4000), .strikes = 3}}};
}

// A limit with a fraction, one of zero, and one that has ended.
std::vector<RateLimitReport> TestRateLimits() {
  return {{.upstream = 11, .requests_per_second = 1.4, .age = milliseconds(7)},
          {.upstream = 12, .requests_per_second = 0, .age = milliseconds(0)},
          {.upstream = 1ULL << 63U, .age = milliseconds(1900)}};
}

HostMessage SampleHostMessage() {
  return {.host = "h1",
          .data_centre = "z1",
          .address = "10.0.0.1:2",
          .process = 77,
          .sequence = 9,
          .draining = true,
          .running = {{11, 3}, {12, 65535}},
          .coordinator_process = 5,
          .last_grant = 6,
          .waiting = {1, 1ULL << 60U},
          .requests = {{.ticket = 1,
                        .service = "s",
                        .priority = 201,
                        .waited = milliseconds(3),
                        .due_in = milliseconds(-4),
                        .start_in = milliseconds(5),
                        .deadline_in = milliseconds(60000),
                        .prompt_tokens = 6610,
                        .expected_output_tokens = 300,
                        .prompt_parts = {{.id = 8, .tokens = 60}},
                        .was_sent = true,
                        .excluded_upstreams = {11},
                        .workspace = 1ULL << 62U,
                        .returned = true}},
          .results = {{.number = 4,
                       .upstream = 12,
                       .result = DispatchResult::kTransportError,
                       .event_interval = std::chrono::duration<double>(0.25),
                       .first_event = std::chrono::duration<double>(0.5),
                       .prompt_tokens = 6610}},
          .usage = {{"acme", {.spent = 1e9, .credits = -5}}},
          .evidence = TestEvidence(),
          .rate_limits = TestRateLimits()};
}

// Guards against hosts misinterpreting each other's messages.
TEST_CASE("an encoded host message decodes to the same values") {
  const HostMessage sent = SampleHostMessage();
  const HostMessage read = RoundTrip(sent);
  CHECK(read.host == sent.host);
  CHECK(read.data_centre == sent.data_centre);
  CHECK(read.address == sent.address);
  CHECK(read.process == sent.process);
  CHECK(read.sequence == sent.sequence);
  CHECK(read.draining);
  CHECK(read.running == sent.running);
  CHECK(read.coordinator_process == sent.coordinator_process);
  CHECK(read.last_grant == sent.last_grant);
  CHECK(read.waiting == sent.waiting);
  REQUIRE(read.requests.size() == 1);
  const PlacementRequest& request = read.requests[0];
  CHECK(request.ticket == 1);
  CHECK(request.service == "s");
  CHECK(request.priority == 201);
  CHECK(request.waited == milliseconds(3));
  CHECK(request.due_in == milliseconds(-4));
  CHECK(request.start_in == milliseconds(5));
  CHECK(request.deadline_in == milliseconds(60000));
  CHECK(request.prompt_tokens == 6610);
  CHECK(request.expected_output_tokens == 300);
  REQUIRE(request.prompt_parts.size() == 1);
  CHECK(request.prompt_parts[0].id == 8);
  CHECK(request.prompt_parts[0].tokens == 60);
  CHECK(request.was_sent);
  CHECK(request.excluded_upstreams == std::vector<std::uint64_t>{11});
  CHECK(request.workspace == 1ULL << 62U);
  CHECK(request.returned);
  REQUIRE(read.results.size() == 1);
  CHECK(read.results[0].number == 4);
  CHECK(read.results[0].upstream == 12);
  CHECK(read.results[0].result == DispatchResult::kTransportError);
  CHECK(read.results[0].event_interval.count() == 0.25);
  CHECK(read.results[0].first_event.count() == 0.5);
  CHECK(read.results[0].prompt_tokens == 6610);
  CHECK(read.usage.at("acme").spent == 1e9);
  CHECK(read.usage.at("acme").credits == -5);
  CHECK(read.evidence == sent.evidence);
  CHECK(read.rate_limits == TestRateLimits());
}

TEST_CASE("an encoded reply decodes to the same values") {
  const CoordinatorMessage read = RoundTrip(
      CoordinatorMessage{.coordinator = "c",
                         .process = 3,
                         .host_process = 1ULL << 63U,
                         .grants = {{.ticket = 1, .upstream = 2, .number = 4}},
                         .refusals = {{.ticket = 5,
                                       .retry_after = milliseconds(700),
                                       .reason = "would be late"}},
                         .queued = {6},
                         .unknown = {7}});
  CHECK(read.coordinator == "c");
  CHECK(read.process == 3);
  CHECK(read.host_process == 1ULL << 63U);
  REQUIRE(read.grants.size() == 1);
  CHECK(read.grants[0].ticket == 1);
  CHECK(read.grants[0].upstream == 2);
  CHECK(read.grants[0].number == 4);
  REQUIRE(read.refusals.size() == 1);
  CHECK(read.refusals[0].ticket == 5);
  CHECK(read.refusals[0].retry_after == milliseconds(700));
  CHECK(read.refusals[0].reason == "would be late");
  CHECK(read.queued == std::vector<std::uint64_t>{6});
  CHECK(read.unknown == std::vector<std::uint64_t>{7});
}

// Guards against a summary that is taken for a data centre's report, or the
// reverse: their sums cover other hosts.
TEST_CASE("a summary and a report decode to what they are") {
  const FleetSummary sent{
      .coordinator = "c",
      .data_centre = "z1",
      .process = 3,
      .host_process = 1ULL << 63U,
      .sequence = 4,
      .draining = true,
      .running = {{11, 3}},
      .usage = {{"acme", {.spent = 12, .credits = 3}}},
      .reachable_hosts = 295,
      .draining_hosts = {"h1", "h2"},
      .evidence = TestEvidence(),
      .paces = {{.upstream = 11, .requests = 2.5, .age = milliseconds(40)}},
      .rate_limits = TestRateLimits()};
  for (const FleetSummary& read :
       {RoundTrip(sent), RoundTrip(DataCentreReport{sent}).summary}) {
    CHECK(read.coordinator == "c");
    CHECK(read.data_centre == "z1");
    CHECK(read.process == 3);
    CHECK(read.host_process == 1ULL << 63U);
    CHECK(read.sequence == 4);
    CHECK(read.draining);
    CHECK(read.running == sent.running);
    CHECK(read.usage.at("acme").spent == 12);
    CHECK(read.reachable_hosts == 295);
    CHECK(read.draining_hosts == sent.draining_hosts);
    CHECK(read.evidence == sent.evidence);
    CHECK(read.rate_limits == TestRateLimits());
    REQUIRE(read.paces.size() == 1);
    CHECK(read.paces[0].upstream == 11);
    CHECK(read.paces[0].requests == 2.5);
    CHECK(read.paces[0].age == milliseconds(40));
  }
}

// Guards against datagrams of strangers, or damaged ones, that end the process.
TEST_CASE("bytes that are no message are refused") {
  const std::string valid = EncodeCoordinationMessage(SampleHostMessage());
  Random random(11);
  for (int run = 0; run < 20000; ++run) {
    std::string bytes = valid.substr(0, random.NextBelow(valid.size() + 1));
    const std::uint64_t changes = random.NextBelow(4);
    for (std::uint64_t n = 0; n < changes && !bytes.empty(); ++n) {
      bytes[random.NextBelow(bytes.size())] =
          static_cast<char>(random.NextBelow(256));
    }
    // Either an error or some message, but no exception.
    (void)DecodeCoordinationMessage(bytes);
  }
  CHECK_FALSE(DecodeCoordinationMessage(""));
  CHECK_FALSE(DecodeCoordinationMessage("GET / HTTP/1.1\r\n\r\n"));
}

// Guards against evidence that no longer fits into a datagram in a flood of
// crashes.
TEST_CASE("the largest report of a quarantine fits into a datagram") {
  constexpr std::size_t kMaxDatagramBytes = 65507;
  CrashQuarantine quarantine;
  Random random(1);
  MonotonicTime now{std::chrono::hours(1)};
  for (int n = 0; n < 1000; ++n) {
    now += milliseconds(1);
    RequestKeys keys{.request = random.Next()};
    for (int part = 0; part < 20; ++part) {
      keys.prompt_parts.push_back(random.Next());
    }
    quarantine.OnSound(keys, now - milliseconds(1), now);
    for (int crash = 0; crash < 3; ++crash) {
      quarantine.OnCrash(random.Next(), keys, now, now);
    }
  }
  const CrashEvidence evidence = quarantine.Report(now);
  CHECK(evidence.crashes.size() == 64);
  CHECK(evidence.sound.size() == 64);
  CHECK(evidence.quarantined.size() == 32);
  HostMessage message = SampleHostMessage();
  message.evidence = evidence;
  CHECK(EncodeCoordinationMessage(message).size() < kMaxDatagramBytes / 4);
}

}  // namespace
}  // namespace flamingogauge
