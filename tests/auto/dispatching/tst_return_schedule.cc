#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <vector>

#include "libs/dispatching/return_schedule.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kNow{std::chrono::hours(1)};

// Guards against refused callers that return together and are refused again.
TEST_CASE("callers that are refused together return one after the other") {
  struct Case {
    int refused;
    double per_second;
    milliseconds latest;
    // The most that may return within one tenth of a second.
    int most_together;
  };
  for (const Case& it :
       {Case{20, 10, seconds(4), 2}, Case{100, 50, seconds(4), 6},
        Case{400, 50, seconds(4), 60}, Case{50, 10, milliseconds(800), 40}}) {
    CAPTURE(it.refused);
    CAPTURE(it.latest.count());
    Random random(1);
    ReturnSchedule schedule;
    std::map<milliseconds::rep, int> by_tenth;
    for (int n = 0; n < it.refused; ++n) {
      const milliseconds delay = schedule.Book({.priority = 0,
                                                .earliest = milliseconds(100),
                                                .latest = it.latest,
                                                .per_second = it.per_second},
                                               kNow, random);
      CHECK(delay >= ReturnSchedule::kMinDelay);
      CHECK(delay <= it.latest);
      ++by_tenth[delay.count() / 100];
    }
    int most = 0;
    for (const auto& [tenth, count] : by_tenth) {
      most = std::max(most, count);
    }
    CHECK(most <= it.most_together);
  }
}

// Guards against room that is promised twice, and against urgent callers that
// return after less urgent ones.
TEST_CASE("less urgent callers return after what more urgent ones booked") {
  Random random(1);
  ReturnSchedule schedule;
  const auto book = [&](int priority) {
    return schedule.Book({.priority = priority,
                          .earliest = milliseconds(400),
                          .latest = seconds(4),
                          .per_second = 10},
                         kNow, random);
  };
  CHECK(book(1) == milliseconds(400));
  CHECK(book(0) == milliseconds(400));
  CHECK(book(0) == milliseconds(500));
  CHECK(book(2) == milliseconds(600));
  CHECK(book(1) == milliseconds(600));
}

}  // namespace
}  // namespace flamingogauge
