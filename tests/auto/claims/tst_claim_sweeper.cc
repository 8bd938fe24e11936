#include <doctest/doctest.h>

#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "libs/claims/claim_sweeper.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Runs the sweeper long enough to list each of its prefixes at least once, and
// returns the listed prefixes.
std::set<std::string> ListedPrefixes(const HostId& self,
                                     const std::vector<HostId>& hosts) {
  ClaimSweeper sweeper({});
  std::set<std::string> prefixes;
  MonotonicTime now{seconds(1)};
  for (int it = 0; it < 600; ++it, now += milliseconds(20)) {
    const auto action = sweeper.OnTime(now, self, hosts);
    if (action) {
      prefixes.insert(std::get<ListClaimsAction>(*action).prefix);
      sweeper.OnListed({});
    }
  }
  return prefixes;
}

// Guards against prefixes that no host sweeps, or that several hosts sweep.
TEST_CASE("ClaimSweeper divides the prefixes among the live hosts") {
  const std::vector<HostId> hosts{"a", "b", "c"};
  std::set<std::string> all;
  std::size_t total = 0;
  for (const HostId& it : hosts) {
    const std::set<std::string> prefixes = ListedPrefixes(it, hosts);
    total += prefixes.size();
    all.insert(prefixes.begin(), prefixes.end());
  }
  CHECK(all.size() == 256);
  CHECK(total == 256);
}

// Guards against the deletion of a claim within its retention, and against
// unconditional deletion.
TEST_CASE("ClaimSweeper deletes expired claims by version") {
  ClaimSweeper sweeper({});
  const std::vector<HostId> hosts{"a"};
  MonotonicTime now{seconds(1)};
  const auto next = [&] {
    now += seconds(1);
    return sweeper.OnTime(now, "a", hosts);
  };
  REQUIRE(std::holds_alternative<ListClaimsAction>(next().value()));
  CHECK_FALSE(next().has_value());
  sweeper.OnListed({"claims/00a", "claims/00b"});
  CHECK(std::get<ReadClaimKeyAction>(next().value()).key == "claims/00a");
  sweeper.OnRead(std::nullopt);
  CHECK(std::get<ReadClaimKeyAction>(next().value()).key == "claims/00b");
  sweeper.OnRead(7);
  const auto action = std::get<DeleteClaimAction>(next().value());
  CHECK(action.key == "claims/00b");
  CHECK(action.expected_version == 7);
  sweeper.OnDeleted();
  CHECK(std::holds_alternative<ListClaimsAction>(next().value()));
}

// Guards against a sweep that uses the store's capacity for other calls.
TEST_CASE("ClaimSweeper respects the call rate shared by all hosts") {
  struct Row {
    std::size_t hosts;
    int most_calls;
  };
  for (const Row& row : {Row{1, 201}, Row{10, 21}, Row{100, 3}}) {
    CAPTURE(row.hosts);
    std::vector<HostId> hosts;
    for (std::size_t it = 0; it < row.hosts; ++it) {
      hosts.push_back("host-" + std::to_string(it));
    }
    ClaimSweeper sweeper({.total_calls_per_second = 200});
    MonotonicTime now{seconds(1)};
    int calls = 0;
    for (int it = 0; it < 1000; ++it, now += milliseconds(1)) {
      if (sweeper.OnTime(now, hosts.front(), hosts)) {
        ++calls;
        sweeper.OnListed({});
      }
    }
    CHECK(calls <= row.most_calls);
  }
}

}  // namespace
}  // namespace flamingogauge
