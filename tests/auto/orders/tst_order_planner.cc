#include <doctest/doctest.h>

#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "libs/orders/order_planner.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const MonotonicTime kStart{seconds(1000)};

OrderAuthority Authority(MonotonicTime unfenced_from) {
  return {.fencing_number = 7,
          .valid_until = kStart + seconds(1000),
          .unfenced_from = unfenced_from};
}

OrderPlanner PlannerWith(bool checks_fencing) {
  OrderPlanner planner({.loads_per_minute = 6});
  planner.SetTargets({{.upstream = "e",
                       .address = "127.0.0.1:1",
                       .models = {"a", "b"},
                       .checks_fencing = checks_fencing}});
  return planner;
}

// Guards against orders that do not converge to the document's models, or that
// are sent without a new read.
TEST_CASE("OrderPlanner orders the difference after each read") {
  struct Row {
    const char* name;
    std::set<ModelId> present;
    std::optional<OrderKind> kind;
    const char* model;
  };
  const Row rows[] = {
      {"nothing present", {}, OrderKind::kLoad, "a"},
      {"one missing", {"a"}, OrderKind::kLoad, "b"},
      {"one too many", {"a", "b", "c"}, OrderKind::kUnload, "c"},
      {"unload before load", {"a", "c"}, OrderKind::kUnload, "c"},
      {"as specified", {"a", "b"}, std::nullopt, ""},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    OrderPlanner planner = PlannerWith(true);
    const auto authority = std::optional(Authority(kStart + seconds(30)));
    auto actions = planner.OnTime(kStart, authority);
    REQUIRE(actions.size() == 1);
    CHECK(std::holds_alternative<ReadModelsAction>(actions.front()));
    CHECK(planner.OnTime(kStart, authority).empty());
    planner.OnModels(kStart, "e", row.present);
    actions = planner.OnTime(kStart, authority);
    REQUIRE(actions.size() == (row.kind ? 1U : 0U));
    if (row.kind) {
      const Order order = std::get<Order>(actions.front());
      CHECK(order.kind == *row.kind);
      CHECK(order.model == row.model);
      CHECK(order.fencing_number == 7);
      planner.OnOrderEnded(kStart, "e", OrderResult::kDone);
      actions = planner.OnTime(kStart, authority);
      REQUIRE(actions.size() == 1);
      CHECK(std::holds_alternative<ReadModelsAction>(actions.front()));
    }
  }
}

// Guards against orders to an upstream without fencing while those of the
// previous holder may still arrive, and against orders without a lease or based
// on models that were read under an earlier one.
TEST_CASE(
    "OrderPlanner waits for old orders and discards reads with the lease") {
  OrderPlanner planner = PlannerWith(false);
  const auto authority = std::optional(Authority(kStart + seconds(30)));
  CHECK(planner.OnTime(kStart + seconds(29), authority).empty());
  REQUIRE(planner.OnTime(kStart + seconds(30), authority).size() == 1);
  planner.OnModels(kStart + seconds(30), "e", std::set<ModelId>{});
  CHECK(planner.OnTime(kStart + seconds(31), std::nullopt).empty());
  const auto actions = planner.OnTime(kStart + seconds(32), authority);
  REQUIRE(actions.size() == 1);
  CHECK(std::holds_alternative<ReadModelsAction>(actions.front()));
}

// Guards against loads beyond the rate limit of the weight store.
TEST_CASE("OrderPlanner respects the rate limit of loads") {
  OrderPlanner planner(
      {.read_interval = milliseconds(100), .loads_per_minute = 6});
  std::vector<OrderTarget> targets;
  for (int it = 0; it < 50; ++it) {
    targets.push_back({.upstream = "e" + std::to_string(it),
                       .models = {"a"},
                       .checks_fencing = true});
  }
  planner.SetTargets(targets);
  const auto authority = std::optional(Authority(kStart));
  int loads = 0;
  for (MonotonicTime now = kStart; now < kStart + seconds(120);
       now += milliseconds(100)) {
    for (const OrderAction& it : planner.OnTime(now, authority)) {
      if (const auto* order = std::get_if<Order>(&it)) {
        ++loads;
        planner.OnOrderEnded(now, order->upstream, OrderResult::kFailed);
      } else {
        planner.OnModels(now, std::get<ReadModelsAction>(it).upstream,
                         std::set<ModelId>{});
      }
    }
  }
  CHECK(loads <= 13);
  CHECK(loads >= 12);
}

}  // namespace
}  // namespace flamingogauge
