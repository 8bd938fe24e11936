#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "libs/kernel/random.h"
#include "libs/orders/order_lease.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kHosts = 3;
constexpr milliseconds kStep{50};

// Simulates hosts that compete for one lease in virtual time. The store delays
// operations, loses responses and applies writes late; hosts pause. An order to
// an upstream that does not check the fencing number arrives within the maximum
// order delay.
class LeaseSimulation {
 public:
  explicit LeaseSimulation(std::uint64_t seed) : random_(seed) {
    for (std::size_t it = 0; it < kHosts; ++it) {
      hosts_.push_back({.incarnation = {.high = it + 1, .low = seed},
                        .lease = std::make_unique<OrderLease>(OrderLeaseOptions{
                            .self = {.high = it + 1, .low = seed}})});
    }
  }

  void Run(Duration time) {
    for (const MonotonicTime end = now_ + time; now_ < end; now_ += kStep) {
      RunDue();
      for (std::size_t it = 0; it < kHosts; ++it) {
        Step(it);
      }
    }
  }

  int overlaps = 0;
  int stale_unfenced_orders = 0;
  int orders = 0;
  int takeovers = 0;

 private:
  struct Host {
    Incarnation incarnation;
    std::unique_ptr<OrderLease> lease;
    MonotonicTime paused_until;
  };

  Duration RandomDelay() {
    return milliseconds(
        random_.NextBelow(random_.NextBool(0.05) ? 15000 : 100));
  }

  void At(MonotonicTime time, std::function<void()> action) {
    due_.emplace(time, std::move(action));
  }

  void RunDue() {
    while (!due_.empty() && due_.begin()->first <= now_) {
      const auto action = std::move(due_.begin()->second);
      due_.erase(due_.begin());
      action();
    }
  }

  void OnHost(std::size_t host, Duration delay, std::function<void()> action) {
    At(now_ + delay, [this, host, action = std::move(action)] {
      if (now_ < hosts_[host].paused_until) {
        At(hosts_[host].paused_until, action);
      } else {
        action();
      }
    });
  }

  void Step(std::size_t host) {
    Host& it = hosts_[host];
    if (now_ < it.paused_until) {
      return;
    }
    if (random_.NextBool(0.002)) {
      it.paused_until = now_ + milliseconds(random_.NextBelow(40000));
      return;
    }
    if (const auto action = it.lease->OnTime(now_)) {
      Call(host, *action);
    }
    if (const auto authority = it.lease->Authority(now_)) {
      CountOverlaps(host);
      SendOrders(*authority);
    }
  }

  void CountOverlaps(std::size_t host) {
    for (std::size_t it = 0; it < kHosts; ++it) {
      overlaps += it != host && hosts_[it].lease->Authority(now_) ? 1 : 0;
    }
  }

  void SendOrders(const OrderAuthority& authority) {
    ++orders;
    const std::uint64_t number = authority.fencing_number;
    const bool unfenced = now_ >= authority.unfenced_from;
    At(now_ + milliseconds(random_.NextBelow(29000)), [this, number, unfenced] {
      if (unfenced) {
        stale_unfenced_orders += number < lowest_allowed_unfenced_ ? 1 : 0;
      }
    });
    if (unfenced && holder_first_number_ != last_acting_holder_) {
      // A new holder sends its first order: no older order may arrive after it.
      last_acting_holder_ = holder_first_number_;
      lowest_allowed_unfenced_ = holder_first_number_;
    }
  }

  void Call(std::size_t host, const LeaseAction& action) {
    if (action.kind == LeaseAction::Kind::kRead) {
      At(now_ + RandomDelay(), [this, host] {
        const bool failed = random_.NextBool(0.1);
        const auto object = object_;
        OnHost(host, RandomDelay(), [this, host, failed, object] {
          if (failed) {
            hosts_[host].lease->OnReadFailed(now_);
          } else {
            hosts_[host].lease->OnRead(now_, object);
          }
        });
      });
      return;
    }
    const bool answer_lost = random_.NextBool(0.15);
    if (answer_lost) {
      OnHost(host, RandomDelay(), [this, host] {
        hosts_[host].lease->OnWritten(now_, StoreWriteResult::kUnknown, 0);
      });
      if (random_.NextBool(0.5)) {
        return;
      }
    }
    At(now_ + RandomDelay(), [this, host, action, answer_lost] {
      const StoreWriteResult result = Apply(host, action);
      const std::uint64_t version = object_ ? object_->version : 0;
      if (!answer_lost) {
        OnHost(host, RandomDelay(), [this, host, result, version] {
          hosts_[host].lease->OnWritten(now_, result, version);
        });
      }
    });
  }

  StoreWriteResult Apply(std::size_t host, const LeaseAction& action) {
    const bool matches =
        action.kind == LeaseAction::Kind::kCreate
            ? !object_
            : object_ && object_->version == action.expected_version;
    if (!matches) {
      return StoreWriteResult::kConflict;
    }
    const std::uint64_t version = object_ ? object_->version + 1 : 1;
    if (!object_ || object_->holder != hosts_[host].incarnation) {
      ++takeovers;
      holder_first_number_ = version;
    }
    object_ = {.holder = hosts_[host].incarnation, .version = version};
    return StoreWriteResult::kApplied;
  }

  Random random_;
  MonotonicTime now_{seconds(1000)};
  std::vector<Host> hosts_;
  std::optional<LeaseObject> object_;
  std::multimap<MonotonicTime, std::function<void()>> due_;
  std::uint64_t holder_first_number_ = 0;
  std::uint64_t last_acting_holder_ = 0;
  std::uint64_t lowest_allowed_unfenced_ = 0;
};

std::uint64_t FromEnvironment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

// Guards against two concurrent holders, and against an order of a former
// holder that reaches an upstream without fencing after the first order of the
// next one.
TEST_CASE("OrderLease has one holder under lost responses and pauses") {
  const std::uint64_t first = FromEnvironment("FLAMINGOGAUGE_SEED", 1);
  const std::uint64_t seeds = FromEnvironment("FLAMINGOGAUGE_SEEDS", 100);
  int takeovers = 0;
  int orders = 0;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    CAPTURE(seed);
    LeaseSimulation simulation(seed);
    simulation.Run(seconds(1200));
    CHECK(simulation.overlaps == 0);
    CHECK(simulation.stale_unfenced_orders == 0);
    takeovers += simulation.takeovers;
    orders += simulation.orders;
  }
  MESSAGE("order lease: seeds " << first << " to " << first + seeds - 1 << ", "
                                << takeovers << " takeovers, " << orders
                                << " orders");
  CHECK(takeovers > static_cast<int>(2 * seeds));
}

// Guards against a lease whose term starts at a repeated renewal although an
// earlier one, whose response was lost, was applied (found by the randomised
// test, seed 67).
TEST_CASE("OrderLease starts the term at the first write in doubt") {
  const MonotonicTime start{seconds(100)};
  OrderLease lease({.self = {.high = 1, .low = 1}});
  lease.OnTime(start);
  lease.OnRead(start, std::nullopt);
  lease.OnTime(start);
  lease.OnWritten(start, StoreWriteResult::kApplied, 1);
  const MonotonicTime renewal = start + seconds(3);
  REQUIRE(lease.OnTime(renewal)->kind == LeaseAction::Kind::kUpdate);
  lease.OnWritten(renewal, StoreWriteResult::kUnknown, 0);
  const MonotonicTime again = start + seconds(8);
  REQUIRE(lease.OnTime(again)->kind == LeaseAction::Kind::kRead);
  lease.OnRead(again,
               LeaseObject{.holder = {.high = 1, .low = 1}, .version = 1});
  REQUIRE(lease.OnTime(again)->kind == LeaseAction::Kind::kUpdate);
  lease.OnWritten(again, StoreWriteResult::kUnknown, 0);
  REQUIRE(lease.OnTime(again)->kind == LeaseAction::Kind::kRead);
  lease.OnRead(again,
               LeaseObject{.holder = {.high = 1, .low = 1}, .version = 2});
  REQUIRE(lease.Authority(again).has_value());
  CHECK(lease.Authority(again)->valid_until == renewal + seconds(10));
}

// Guards against a holder that continues after an upstream has received a
// higher fencing number, and against a term that starts at the response to a
// write.
TEST_CASE("OrderLease starts at sending and ends on a refused order") {
  const MonotonicTime start{seconds(100)};
  OrderLease lease({.self = {.high = 1, .low = 1}});
  REQUIRE(lease.OnTime(start)->kind == LeaseAction::Kind::kRead);
  lease.OnRead(start, std::nullopt);
  REQUIRE(lease.OnTime(start)->kind == LeaseAction::Kind::kCreate);
  lease.OnWritten(start + seconds(2), StoreWriteResult::kApplied, 1);
  CHECK(lease.Authority(start + seconds(9)).has_value());
  CHECK_FALSE(lease.Authority(start + seconds(10)).has_value());
  CHECK(lease.Authority(start + seconds(2))->unfenced_from ==
        start + seconds(32));
  lease.OnOrderRefused();
  CHECK_FALSE(lease.Authority(start + seconds(2)).has_value());
}

}  // namespace
}  // namespace flamingogauge
