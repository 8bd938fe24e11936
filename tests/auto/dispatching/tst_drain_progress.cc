#include <doctest/doctest.h>

#include <chrono>
#include <cstddef>
#include <random>
#include <string>
#include <vector>

#include "libs/dispatching/drain_progress.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr MonotonicTime kStart{std::chrono::hours(1)};
constexpr milliseconds kCheckInterval{50};

// Guards against a draining host accepting requests that it cannot finish.
TEST_CASE("a draining host accepts requests that end before its time limit") {
  struct Row {
    // Since the signal: when the request has been received, and when it ends at
    // the latest.
    milliseconds received;
    milliseconds deadline;
    bool accepts;
  };
  const DrainProgress drain({}, kStart);
  for (const Row& row : {Row{milliseconds(0), milliseconds(15000), true},
                         Row{milliseconds(2400), milliseconds(17400), true},
                         Row{milliseconds(2600), milliseconds(17600), false},
                         // Its first byte came early, its last one late.
                         Row{milliseconds(4400), milliseconds(17400), false},
                         Row{milliseconds(2600), milliseconds(3800), true},
                         Row{milliseconds(6000), milliseconds(7200), false}}) {
    CAPTURE(row.received.count());
    CHECK(drain.AcceptsRequest(kStart + row.received, kStart + row.deadline) ==
          row.accepts);
  }
}

// What a host has to finish at some time.
struct Change {
  milliseconds at;
  UnfinishedWork work;
};

struct Course {
  // When the idle connections were closed, the requests ended and the process
  // allowed to exit; negative if never.
  milliseconds closed{-1};
  milliseconds aborted{-1};
  milliseconds finished{-1};
};

// Runs a drain in virtual time.
Course Run(const std::vector<Change>& changes) {
  DrainProgress drain({}, kStart);
  Course course;
  for (milliseconds at{0}; at < milliseconds(10000); at += kCheckInterval) {
    UnfinishedWork work;
    for (const Change& it : changes) {
      if (it.at <= at) {
        work = it.work;
      }
    }
    switch (drain.Check(work, kStart + at)) {
      case DrainAction::kWait:
        break;
      case DrainAction::kCloseIdle:
        if (course.closed.count() < 0) {
          course.closed = at;
        }
        break;
      case DrainAction::kAbort:
        CHECK(course.aborted.count() < 0);
        course.aborted = at;
        break;
      case DrainAction::kFinish:
        course.finished = at;
        return course;
    }
  }
  return course;
}

// Guards against a process that exits while a request arrives, is in progress
// or has its response written, and against one that does not exit.
TEST_CASE("a process exits once nothing is left to finish") {
  const UnfinishedWork none;
  const UnfinishedWork running{.requests_in_progress = 1};
  const UnfinishedWork arriving{.requests_arriving = 1};
  const UnfinishedWork unsent{.responses_unsent = 1};
  struct Row {
    std::string name;
    std::vector<Change> changes;
    milliseconds closed;
    milliseconds aborted;
    milliseconds finished;
  };
  using ms = milliseconds;
  for (const Row& row : std::vector<Row>{
           {"idle", {}, ms(3500), ms(-1), ms(3800)},
           {"busy until 5 s",
            {{ms(0), running}, {ms(5000), none}},
            ms(5000),
            ms(-1),
            ms(5300)},
           {"a request arrives as the idle connections could be closed",
            {{ms(3400), arriving}, {ms(4000), running}, {ms(5000), none}},
            ms(5000),
            ms(-1),
            ms(5300)},
           {"a request arrives as they are closed",
            {{ms(3600), arriving}, {ms(4400), running}, {ms(5200), none}},
            ms(3500),
            ms(-1),
            ms(5200)},
           {"a caller reads slowly",
            {{ms(0), running}, {ms(2000), unsent}, {ms(6000), none}},
            ms(6000),
            ms(-1),
            ms(6300)},
           {"a request that does not end",
            {{ms(0), running}},
            ms(6850),
            ms(6800),
            ms(7100)},
           {"a request that goes on arriving",
            {{ms(3600), arriving}},
            ms(3500),
            ms(6800),
            ms(7100)}}) {
    CAPTURE(row.name);
    const Course course = Run(row.changes);
    CHECK(course.closed == row.closed);
    CHECK(course.aborted == row.aborted);
    CHECK(course.finished == row.finished);
  }
}

// Guards against orders of events that the table above leaves out.
TEST_CASE("no order of events lets a process exit with work before its limit") {
  const DrainOptions options;
  for (unsigned seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    std::vector<Change> changes;
    for (milliseconds at{0}; at < options.time_limit;
         at += milliseconds(50 * (1 + random() % 40))) {
      changes.push_back({.at = at,
                         .work = {.requests_in_progress = random() % 2,
                                  .requests_arriving = random() % 2,
                                  .responses_unsent = random() % 2}});
    }
    const Course course = Run(changes);
    REQUIRE(course.finished >= options.min_time + options.close_time);
    CHECK(course.finished <= options.time_limit + options.close_time);
    UnfinishedWork at_exit;
    for (const Change& it : changes) {
      at_exit = it.at <= course.finished ? it.work : at_exit;
    }
    CHECK((course.aborted.count() >= 0 || at_exit.IsEmpty()));
  }
}

}  // namespace
}  // namespace flamingogauge
