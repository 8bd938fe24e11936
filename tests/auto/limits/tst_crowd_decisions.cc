#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "libs/limits/connection_choice.h"
#include "libs/limits/memory_budget.h"

namespace flamingogauge {
namespace {

using Ids = std::vector<std::uint64_t>;

struct Held {
  std::uint64_t id;
  HeldKind kind;
  std::size_t kilobytes;
};

struct BudgetRow {
  std::string name;
  std::vector<Held> held;
  Ids closed;
};

// Guards against closing connections without need, and against closing ordinary
// callers, also those whose socket buffer is full for a moment, before those
// that do not read or hold much.
TEST_CASE("the connections to close for memory") {
  for (const BudgetRow& row : {
           BudgetRow{"within the bound", {{1, HeldKind::kUnsent, 1000}}, {}},
           BudgetRow{"unread responses first, the largest of them first",
                     {{1, HeldKind::kInput, 400},
                      {2, HeldKind::kUnsent, 200},
                      {3, HeldKind::kUnsent, 300},
                      {4, HeldKind::kRequest, 200}},
                     {3, 2}},
           BudgetRow{"then whatever is largest",
                     {{1, HeldKind::kInput, 10},
                      {2, HeldKind::kRequest, 500},
                      {3, HeldKind::kResponse, 491},
                      {4, HeldKind::kUnsent, 100}},
                     {4, 2}},
           BudgetRow{"the kinds of a connection count together",
                     {{1, HeldKind::kInput, 300},
                      {1, HeldKind::kRequest, 300},
                      {2, HeldKind::kInput, 500}},
                     {1}},
           BudgetRow{"a later value replaces an earlier one",
                     {{1, HeldKind::kInput, 3000}, {1, HeldKind::kInput, 10}},
                     {}},
           BudgetRow{"a stream with little unsent stays beside bodies",
                     {{1, HeldKind::kUnsent, 1},
                      {2, HeldKind::kInput, 400},
                      {3, HeldKind::kInput, 400},
                      {4, HeldKind::kInput, 400}},
                     {4, 3}},
           BudgetRow{"a response counts as unread from 64 KB on",
                     {{1, HeldKind::kUnsent, 64},
                      {2, HeldKind::kUnsent, 63},
                      {3, HeldKind::kRequest, 900}},
                     {1, 3}},
       }) {
    CAPTURE(row.name);
    MemoryBudget budget(std::size_t{1000} << 10U);
    for (const Held& it : row.held) {
      budget.Set(it.id, it.kind, it.kilobytes << 10U);
    }
    CHECK(budget.ChooseToClose() == row.closed);
    CHECK(budget.is_exceeded() == !row.closed.empty());
  }
}

// Guards against a sum that drifts from what is held.
TEST_CASE("a removed connection counts no longer") {
  MemoryBudget budget(1000);
  budget.Set(1, HeldKind::kInput, 700);
  budget.Set(1, HeldKind::kUnsent, 200);
  budget.Set(2, HeldKind::kUnsent, 50);
  CHECK(budget.HeldFor(1) == 900);
  CHECK(budget.total(HeldKind::kUnsent) == 250);
  budget.Remove(1);
  budget.Remove(1);
  budget.Set(2, HeldKind::kUnsent, 0);
  CHECK(budget.total() == 0);
}

struct ChoiceRow {
  std::string name;
  std::vector<ConnectionActivity> connections;
  Ids closed;
};

MonotonicTime At(int second) {
  return MonotonicTime(std::chrono::seconds(second));
}

// Guards against cutting off a request that is being handled, and against
// closing connections that were just opened before those that wait for long.
TEST_CASE("the connection to close for a further one") {
  using Phase = ConnectionPhase;
  for (const ChoiceRow& row : {
           ChoiceRow{"one that is finished",
                     {{1, Phase::kWaiting, At(1)},
                      {2, Phase::kUnread, At(1)},
                      {3, Phase::kLingering, At(9)}},
                     {3}},
           ChoiceRow{"one that is not read",
                     {{1, Phase::kWaiting, At(1)},
                      {2, Phase::kUnread, At(7)},
                      {3, Phase::kUnread, At(6)}},
                     {3}},
           ChoiceRow{"the one that waits for longest",
                     {{1, Phase::kWaiting, At(8)},
                      {2, Phase::kAnswering, At(1)},
                      {3, Phase::kWaiting, At(5)}},
                     {3}},
           ChoiceRow{
               "none if all are answered", {{1, Phase::kAnswering, At(1)}}, {}},
       }) {
    CAPTURE(row.name);
    CHECK(ChooseConnectionsToClose(row.connections) == row.closed);
  }
  std::vector<ConnectionActivity> many;
  for (std::uint64_t id = 0; id < 320; ++id) {
    many.push_back({.id = id, .since = At(static_cast<int>(id))});
  }
  CHECK(ChooseConnectionsToClose(many).size() == 10);
}

}  // namespace
}  // namespace flamingogauge
