#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "libs/scheduling/group_scheduler.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{seconds(1000)};

GroupConfig Upstreams(std::size_t count, std::uint32_t concurrency) {
  GroupConfig config{.target = "m"};
  for (std::size_t it = 0; it < count; ++it) {
    config.upstreams.push_back({.id = "u" + std::to_string(it),
                                .token_capacity = 100000,
                                .max_concurrency = concurrency});
  }
  return config;
}

struct Group {
  explicit Group(const GroupConfig& config)
      : scheduler(config, {}, DefaultPolicies(config), {.low = 1}, 1) {}

  RequestId Submit(PermitRequest request) {
    request.id = {.sequence = ++sequence};
    request.target = "m";
    request.workspace = request.workspace.empty() ? "w" : request.workspace;
    request.fingerprint = request.fingerprint == Fingerprint{}
                              ? Fingerprint{.low = sequence}
                              : request.fingerprint;
    if (request.time_left.count() == 0) {
      request.time_left = seconds(60);
    }
    scheduler.Submit(now, request, "host");
    return request.id;
  }

  std::vector<GrantAction> Grants() {
    scheduler.Advance(now);
    std::vector<GrantAction> grants;
    for (const GroupAction& it : scheduler.TakeActions()) {
      if (const auto* grant = std::get_if<GrantAction>(&it)) {
        grants.push_back(*grant);
      } else if (const auto* refused = std::get_if<RefuseAction>(&it)) {
        refusals.push_back(*refused);
      } else if (std::holds_alternative<QuarantineAction>(it)) {
        ++quarantined;
      }
    }
    return grants;
  }

  void End(const GrantAction& grant, PermitEnd end) {
    scheduler.OnOutcome(now, {.permit = grant.permit,
                              .request = grant.request,
                              .upstream = grant.upstream,
                              .end = end});
  }

  MonotonicTime now = kStart;
  GroupScheduler scheduler;
  std::uint64_t sequence = 0;
  std::vector<RefuseAction> refusals;
  int quarantined = 0;
};

PermitRequest LongRequest() {
  return {.prompt_tokens = 4000, .max_output_tokens = 50};
}

PermitRequest ShortRequest() {
  return {.prompt_tokens = 50, .max_output_tokens = 20};
}

// Guards against head-of-line blocking of short requests by many long requests
// of a more urgent tier.
TEST_CASE("GroupScheduler grants a short request while long ones wait") {
  Group group(Upstreams(2, 8));
  for (int it = 0; it < 50; ++it) {
    group.Submit(LongRequest());
  }
  for (int it = 0; it < 100; ++it) {
    group.Grants();
    group.now += milliseconds(100);
  }
  PermitRequest short_request = ShortRequest();
  short_request.tier = 3;
  const RequestId id = group.Submit(short_request);
  const std::vector<GrantAction> grants = group.Grants();
  REQUIRE(grants.size() == 1);
  CHECK(grants[0].request == id);
}

// Guards against capacity that stays occupied after the host that holds a
// permit has failed, and against the expiry of permits that are being renewed.
// A permit expires 3 s after its last renewal (time to live plus margin).
TEST_CASE("GroupScheduler expires permits unless they are renewed") {
  Group group(Upstreams(1, 1));
  group.Submit(ShortRequest());
  const std::vector<GrantAction> first = group.Grants();
  REQUIRE(first.size() == 1);
  group.Submit(ShortRequest());
  group.now += milliseconds(2500);
  group.scheduler.Renew(group.now, first[0].permit);
  group.now += milliseconds(2500);
  CHECK(group.Grants().empty());
  group.now += milliseconds(1000);
  CHECK(group.Grants().size() == 1);
}

// Guards against grants on upstreams that are leaving, removed or about to
// retire (I6).
TEST_CASE("GroupScheduler avoids leaving, removed and retiring upstreams") {
  struct Row {
    const char* description;
    bool leaving;
    bool removed;
    seconds retires_in;
    std::size_t grants;
  };
  for (const Row& row : {Row{"stays", false, false, seconds(1000), 2},
                         Row{"leaving", true, false, seconds(1000), 1},
                         Row{"removed", false, true, seconds(1000), 1},
                         Row{"retires", false, false, seconds(0), 1}}) {
    CAPTURE(row.description);
    Group group(Upstreams(2, 1));
    GroupConfig config = Upstreams(row.removed ? 1 : 2, 1);
    if (!row.removed) {
      config.upstreams[1].leaving = row.leaving;
      config.upstreams[1].retires_at = group.now + row.retires_in;
    }
    group.scheduler.Configure(group.now, config);
    group.Submit(ShortRequest());
    group.Submit(ShortRequest());
    CHECK(group.Grants().size() == row.grants);
  }
}

// Guards against a request that crashes more than two upstreams, and against
// two requests that are suspected of crashing upstreams and run on the same
// upstream at the same time (docs/design.md, section 11).
TEST_CASE("GroupScheduler isolates and quarantines crashing requests") {
  Group group(Upstreams(3, 4));
  PermitRequest crashing = ShortRequest();
  crashing.fingerprint = {.low = 77};
  group.Submit(crashing);
  group.Submit(crashing);
  const std::vector<GrantAction> same = group.Grants();
  REQUIRE(same.size() == 2);
  CHECK(same[0].upstream == same[1].upstream);
  group.End(same[0], PermitEnd::kCrashed);
  group.End(same[1], PermitEnd::kCrashed);
  CHECK(group.Grants().empty());
  CHECK(group.quarantined == 0);
  group.Submit(crashing);
  group.Submit(crashing);
  const std::vector<GrantAction> alone = group.Grants();
  REQUIRE(alone.size() == 1);
  CHECK(alone[0].upstream != same[0].upstream);
  group.End(alone[0], PermitEnd::kCrashed);
  group.Grants();
  CHECK(group.quarantined == 1);
  group.now += milliseconds(200);
  CHECK(group.Grants().empty());
  REQUIRE(group.refusals.size() == 1);
  CHECK(group.refusals[0].refusal.kind == RefusalKind::kQuarantined);
}

// Guards against a request that repeatedly crashes the only upstream of a group
// and is not quarantined because no second upstream has crashed.
TEST_CASE("GroupScheduler quarantines after two crashes of one upstream") {
  Group group(Upstreams(1, 4));
  PermitRequest crashing = ShortRequest();
  crashing.fingerprint = {.low = 77};
  for (int it = 0; it < 2; ++it) {
    CHECK(group.quarantined == 0);
    group.Submit(crashing);
    std::vector<GrantAction> granted = group.Grants();
    // Allows for a pause of the upstream after its crash. There is none in a
    // group of one upstream, see StragglerDetector::MayStop().
    for (int step = 0; step < 100 && granted.empty(); ++step) {
      group.now += milliseconds(200);
      granted = group.Grants();
    }
    REQUIRE(granted.size() == 1);
    group.End(granted[0], PermitEnd::kCrashed);
    group.Grants();
  }
  CHECK(group.quarantined == 1);
}

// Guards against retries that exceed the budget, are dispatched without a
// delay, or return to the upstream that has just failed.
TEST_CASE("GroupScheduler bounds and delays retries") {
  Group group(Upstreams(2, 64));
  PermitRequest retry = ShortRequest();
  retry.excluded = {"u0"};
  for (int it = 0; it < 10; ++it) {
    group.Submit(retry);
  }
  CHECK(group.Grants().empty());
  // The initial retry budget covers three of the ten retries.
  CHECK(group.refusals.size() == 7);
  group.now += milliseconds(200);
  const std::vector<GrantAction> grants = group.Grants();
  CHECK(grants.size() == 3);
  for (const GrantAction& it : grants) {
    CHECK(it.upstream == "u1");
  }
}

// Guards against a new scheduler that overloads upstreams because it ignores
// the permits of its predecessor or grants before these are reported.
TEST_CASE("GroupScheduler takes over permits in use") {
  Group group(Upstreams(1, 2));
  group.scheduler.SetPaused(group.now, true);
  group.Submit(ShortRequest());
  group.Submit(ShortRequest());
  CHECK(group.Grants().empty());
  group.scheduler.Adopt(group.now, {.permit = {.sequence = 900},
                                    .request = {.sequence = 800},
                                    .host = "other",
                                    .upstream = "u0"});
  group.scheduler.SetPaused(group.now, false);
  CHECK(group.Grants().size() == 1);
  CHECK(group.scheduler.InUseCount() == 2);
}

}  // namespace
}  // namespace flamingogauge
