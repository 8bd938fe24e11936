#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libs/coordination/usage_ledger.h"
#include "libs/dispatching/shared_rate_limiter.h"
#include "libs/kernel/random.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr double kRate = 50000;
constexpr double kBurst = 60000;
constexpr std::chrono::seconds kWindow{8};
constexpr milliseconds kStep{10};
constexpr milliseconds kReportInterval{200};

RoutingTable TableWithLimit(double rate, double burst) {
  RoutingTable table;
  table.workspaces.push_back({.name = "w",
                              .counts_tokens = true,
                              .rate_per_second = rate,
                              .burst = burst});
  return table;
}

// Several hosts that share one workspace's limit and one simulated clock.
class Hosts {
 public:
  explicit Hosts(std::size_t count)
      : table_(TableWithLimit(kRate, kBurst)), process_(count, 1) {
    for (std::size_t n = 0; n < count; ++n) {
      hosts_.push_back(NewHost());
    }
  }

  // Cuts `group` off from the other hosts.
  void Partition(std::set<std::size_t> group) { group_ = std::move(group); }

  void Restart(std::size_t host) {
    hosts_[host] = NewHost();
    ++process_[host];
  }

  // Requests `amount` at host `host`; returns true if it was admitted.
  bool Admit(std::size_t host, double amount) {
    const bool admitted =
        hosts_[host].TrySpend(table_.workspaces[0], amount, now_);
    if (admitted) {
      admitted_.emplace_back(now_, amount);
    }
    return admitted;
  }

  void Advance() {
    now_ += kStep;
    if ((now_.time_since_epoch() % kReportInterval).count() == 0) {
      Exchange();
    }
  }

  // The largest amount admitted in any window.
  double LargestWindow() const {
    double largest = 0;
    double sum = 0;
    std::size_t first = 0;
    for (const auto& [time, amount] : admitted_) {
      sum += amount;
      while (time - admitted_[first].first > kWindow) {
        sum -= admitted_[first++].second;
      }
      largest = std::max(largest, sum);
    }
    return largest;
  }
  double Total() const {
    double sum = 0;
    for (const auto& [time, amount] : admitted_) {
      sum += amount;
    }
    return sum;
  }

 private:
  SharedRateLimiter NewHost() {
    SharedRateLimiter host(now_);
    host.SetLimits(table_, now_);
    host.SetHostCount(process_.size());
    return host;
  }

  // Lets the coordinator of each side of the partition add up the usage of its
  // hosts and report it to them.
  void Exchange() {
    for (const bool in_group : {false, true}) {
      std::vector<std::size_t> side;
      for (std::size_t n = 0; n < hosts_.size(); ++n) {
        if (group_.contains(n) == in_group) {
          side.push_back(n);
        }
      }
      UsageLedger& ledger = ledgers_[in_group ? 1 : 0];
      for (const std::size_t n : side) {
        const UsageByWorkspace usage = hosts_[n].OwnUsage(now_);
        ledger.Record(std::to_string(n), process_[n], usage);
        ledger.SetCredits(usage);
      }
      for (const std::size_t n : side) {
        UsageByWorkspace others;
        ledger.AddTotalExcept(std::to_string(n), others);
        hosts_[n].OnOthersUsage(in_group ? 2 : 1, others, side.size(), now_);
      }
    }
  }

  RoutingTable table_;
  std::vector<SharedRateLimiter> hosts_;
  std::vector<std::uint64_t> process_;
  std::set<std::size_t> group_;
  std::array<UsageLedger, 2> ledgers_;
  std::vector<std::pair<MonotonicTime, double>> admitted_;
  MonotonicTime now_{std::chrono::hours(1)};
};

// The bound documented for users: rate times window plus burst, with 10 %
// tolerance and a fixed slack.
constexpr double kAllowed = (kRate * 8 + kBurst) * 1.1 + 140000;

// Guards against a workspace exceeding its limit because hosts admit requests
// independently, including during partitions and after restarts.
TEST_CASE("all hosts together stay within the limit") {
  struct Row {
    std::string name;
    std::set<std::size_t> cut_off;
    bool restarts;
  };
  for (const Row& row :
       {Row{"connected", {}, false}, Row{"one cut off", {0}, false},
        Row{"half cut off", {0, 1, 2, 3}, false}, Row{"restarts", {}, true}}) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      CAPTURE(row.name);
      CAPTURE(seed);
      Random random(seed);
      Hosts hosts(9);
      for (int step = 0; step < 3000; ++step) {
        if (step == 1000) {
          hosts.Partition(row.cut_off);
        }
        if (row.restarts && step % 400 == 399) {
          hosts.Restart(random.NextBelow(9));
        }
        // The demand is about six times the limit, most of it at one host.
        if (random.NextBool(0.3)) {
          const std::size_t host =
              random.NextBool(0.6) ? 0 : random.NextBelow(9);
          hosts.Admit(host,
                      1000 + static_cast<double>(random.NextBelow(18000)));
        }
        hosts.Advance();
      }
      CHECK(hosts.LargestWindow() <= kAllowed);
    }
  }
}

// Guards against refusals below the limit. With a fixed share per host, two
// large requests exhausted one host's share while the shares of others were
// unused.
TEST_CASE("one host can use the whole limit") {
  Hosts hosts(9);
  double refused = 0;
  for (int step = 0; step < 3000; ++step) {
    // 40,000 of 50,000 units per second, in requests of 10,000.
    if (step % 25 == 0 && step > 200 && !hosts.Admit(0, 10000)) {
      refused += 10000;
    }
    hosts.Advance();
  }
  CHECK(refused / (refused + hosts.Total()) < 0.02);
}

// Guards against a retry delay that ends before the workspace has credit again.
TEST_CASE("the time until credit follows the debt") {
  const RoutingTable table = TableWithLimit(1000, 1000);
  const MonotonicTime now{std::chrono::hours(1)};
  SharedRateLimiter host(now);
  host.SetLimits(table, now);
  const WorkspaceEntry& workspace = table.workspaces[0];
  CHECK(host.TimeUntilCredit(workspace, now) == milliseconds(0));
  REQUIRE(host.TrySpend(workspace, 2500, now));
  CHECK_FALSE(host.TrySpend(workspace, 1, now));
  CHECK(host.TimeUntilCredit(workspace, now) == milliseconds(2000));
  host.Refund(workspace, 2500);
  CHECK(host.TrySpend(workspace, 1, now));
}

// Guards against credits above a lowered limit remaining available.
TEST_CASE("lowering a limit caps the remaining credits") {
  const MonotonicTime now{std::chrono::hours(1)};
  SharedRateLimiter host(now);
  host.SetLimits(TableWithLimit(100000, 100000), now);
  const RoutingTable lower = TableWithLimit(10, 10);
  host.SetLimits(lower, now);
  REQUIRE(host.TrySpend(lower.workspaces[0], 11, now));
  CHECK_FALSE(host.TrySpend(lower.workspaces[0], 1, now));
}

// Guards against a workspace over its limit whose many small, less urgent
// requests take the credits of its urgent ones: with a demand of three times
// the limit, of which the urgent requests are a sixth, nearly all of those are
// within the limit, and less urgent ones get the rest. Without urgent requests
// nothing is kept back.
TEST_CASE(
    "a workspace's less urgent requests leave credits to its urgent ones") {
  struct Case {
    double urgent_share;
    double min_urgent_admitted;
  };
  for (const Case& it : {Case{1.0 / 6, 0.95}, Case{0, 0}}) {
    CAPTURE(it.urgent_share);
    MonotonicTime now{std::chrono::hours(1)};
    const RoutingTable table = TableWithLimit(kRate, kBurst);
    SharedRateLimiter limiter(now);
    limiter.SetLimits(table, now);
    Random random(1);
    constexpr double kUrgentAmount = 1400;
    constexpr double kOtherAmount = 200;
    constexpr double kSeconds = 10;
    const double demand = 3 * kRate * ToSeconds(kStep);
    double admitted = 0;
    int urgent_asked = 0;
    int urgent_admitted = 0;
    for (int n = 0; n < kSeconds / ToSeconds(kStep); ++n) {
      now += kStep;
      for (double left = demand; left > 0; left -= kOtherAmount) {
        const bool is_urgent =
            random.NextBool(it.urgent_share * kOtherAmount / kUrgentAmount);
        const double amount = is_urgent ? kUrgentAmount : kOtherAmount;
        const bool spent = limiter.TrySpend(table.workspaces[0], amount, now,
                                            is_urgent ? 0 : 2);
        admitted += spent ? amount : 0;
        urgent_asked += is_urgent ? 1 : 0;
        urgent_admitted += is_urgent && spent ? 1 : 0;
      }
    }
    CHECK(urgent_admitted >= it.min_urgent_admitted * urgent_asked);
    CHECK(admitted >= kRate * kSeconds);
    CHECK(admitted <= kRate * kSeconds + kBurst + kUrgentAmount);
  }
}

}  // namespace
}  // namespace flamingogauge
