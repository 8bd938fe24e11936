#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "libs/dispatching/waiting_queue.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kNow{std::chrono::hours(1)};

struct Entry {
  std::uint64_t id = 0;
  int priority = 0;
  int due_in_ms = 1000;
  std::uint64_t workspace = 0;
  bool returned = false;
};

void Add(WaitingQueue& queue, const Entry& entry) {
  const MonotonicTime due_at = kNow + milliseconds(entry.due_in_ms);
  queue.Add({.id = entry.id,
             .service = "s",
             .priority = entry.priority,
             .arrived_at = kNow,
             .due_at = due_at,
             .start_by = kNow + seconds(3),
             .deadline = kNow + seconds(10),
             .workspace = entry.workspace,
             .returned = entry.returned},
            due_at - milliseconds(100));
}

std::vector<std::uint64_t> Order(const WaitingQueue& queue) {
  std::vector<std::uint64_t> order;
  queue.ForEachInOrder([&order](const AdmissionCandidate& it) {
    order.push_back(it.request.id);
    return true;
  });
  return order;
}

// Guards against requests that are served although they are late while others
// become late behind them, and against an order other than by priority, by
// return and by due time.
TEST_CASE("the order of a queue") {
  struct Case {
    std::string name;
    std::vector<Entry> entries;
    int after_ms;
    std::vector<std::uint64_t> order;
  };
  const std::vector<Case> cases{
      {"due time", {{1, 0, 900}, {2, 0, 700}, {3, 0, 800}}, 0, {2, 3, 1}},
      {"priority first", {{1, 2, 500}, {2, 1, 900}, {3, 0, 990}}, 0, {3, 2, 1}},
      {"what is late last", {{1, 0, 300}, {2, 2, 900}}, 250, {2, 1}},
      {"late on arrival", {{1, 0, -50}, {2, 2, 900}}, 0, {2, 1}},
      {"late ones by priority",
       {{1, 2, 300}, {2, 0, 310}, {3, 1, 900}},
       400,
       {3, 2, 1}},
      {"returning callers first",
       {{1, 1, 700}, {2, 1, 900, 0, true}, {3, 0, 900}},
       0,
       {3, 2, 1}},
  };
  for (const Case& it : cases) {
    CAPTURE(it.name);
    WaitingQueue queue(std::make_shared<WorkspaceWeights>());
    for (const Entry& entry : it.entries) {
      Add(queue, entry);
    }
    queue.Advance(kNow + milliseconds(it.after_ms));
    CHECK(Order(queue) == it.order);
  }
}

// Guards against a workspace that fills the queue and delays the others, and
// against weights that are not kept to.
TEST_CASE("workspaces of one priority take turns by their weights") {
  struct Case {
    std::string name;
    WorkspaceWeights weights;
    // How often workspaces 1, 2 and 3 are among the first twelve.
    std::vector<int> expected;
  };
  const std::vector<Case> cases{
      {"equal weights", {}, {4, 4, 4}},
      {"twice the weight", {{1, 2.0}, {2, 1.0}, {3, 1.0}}, {6, 3, 3}},
      {"half the weight", {{1, 0.5}, {2, 1.0}, {3, 1.0}}, {3, 5, 4}},
  };
  for (const Case& it : cases) {
    CAPTURE(it.name);
    WaitingQueue queue(std::make_shared<WorkspaceWeights>(it.weights));
    std::uint64_t id = 0;
    // The first workspace sends most, and before the others.
    for (const int count : {60, 10, 10}) {
      const std::uint64_t workspace = id == 0 ? 1 : (id == 60 ? 2 : 3);
      for (int n = 0; n < count; ++n) {
        Add(queue, {.id = ++id, .due_in_ms = 500, .workspace = workspace});
      }
    }
    std::vector<int> placed(3);
    for (int n = 0; n < 12; ++n) {
      const std::uint64_t first = Order(queue).front();
      ++placed[first <= 60 ? 0 : (first <= 70 ? 1 : 2)];
      queue.RemovePlaced(first);
    }
    CHECK(placed == it.expected);
  }
}

// Guards against a workspace that is owed turns for a time in which it sent
// nothing, and then holds up the others.
TEST_CASE("a workspace that begins to send has no claim on earlier turns") {
  WaitingQueue queue(std::make_shared<WorkspaceWeights>());
  std::uint64_t id = 0;
  for (int n = 0; n < 50; ++n) {
    Add(queue, {.id = ++id, .workspace = 1});
    queue.RemovePlaced(id);
  }
  for (int n = 0; n < 4; ++n) {
    Add(queue, {.id = ++id, .workspace = 1});
    Add(queue, {.id = ++id, .workspace = 2});
  }
  CHECK(Order(queue) ==
        std::vector<std::uint64_t>{52, 51, 54, 53, 56, 55, 58, 57});
}

// Guards against an expected wait that leaves out requests which are placed
// before, or counts others.
TEST_CASE("the number of requests ahead") {
  WaitingQueue queue(std::make_shared<WorkspaceWeights>());
  Add(queue, {.id = 1, .priority = 0, .due_in_ms = 200});
  Add(queue, {.id = 2, .priority = 1, .workspace = 1});
  Add(queue, {.id = 3, .priority = 1, .workspace = 1});
  Add(queue, {.id = 4, .priority = 1, .workspace = 2});
  Add(queue, {.id = 5, .priority = 2});
  queue.Advance(kNow + milliseconds(150));
  struct Case {
    std::uint64_t id;
    std::size_t more_urgent;
    std::size_t equal;
    std::size_t less_urgent;
  };
  for (const Case& it : {Case{1, 0, 0, 4}, Case{2, 1, 0, 0}, Case{3, 1, 2, 0},
                         Case{4, 1, 1, 0}, Case{5, 4, 0, 0}}) {
    CAPTURE(it.id);
    const WaitingQueue::Ahead ahead = queue.CountAhead(*queue.Find(it.id));
    CHECK(ahead.more_urgent == it.more_urgent);
    CHECK(ahead.equal == it.equal);
    CHECK(ahead.less_urgent == it.less_urgent);
  }
}

// Guards against requests or counts that stay behind when requests leave in
// any order.
TEST_CASE("a queue from which all requests are removed is empty") {
  WaitingQueue queue(std::make_shared<WorkspaceWeights>());
  for (std::uint64_t id = 1; id <= 300; ++id) {
    Add(queue, {.id = id,
                .priority = static_cast<int>(id % 3),
                .due_in_ms = static_cast<int>(id),
                .workspace = id});
  }
  queue.Advance(kNow + milliseconds(100));
  CHECK(queue.late_count() == 199);
  CHECK(queue.NewRequests().size() == 300);
  for (std::uint64_t id = 300; id >= 1; --id) {
    if (id % 2 == 0) {
      queue.RemovePlaced(id);
    } else {
      CHECK(queue.Remove(id));
    }
  }
  CHECK_FALSE(queue.Remove(1));
  CHECK(queue.size() == 0);
  CHECK(queue.late_count() == 0);
  CHECK(queue.NewRequests().empty());
  CHECK(Order(queue).empty());
}

}  // namespace
}  // namespace flamingogauge
