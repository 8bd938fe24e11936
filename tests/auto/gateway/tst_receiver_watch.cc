#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

#include "plugins/gateway/receiver_watch.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLimit{2000};
constexpr milliseconds kInterval{400};

// Guards against a peer that acknowledges, but does not read, being taken for
// one that is gone, and against one that is gone being waited for.
TEST_CASE("the limit is lifted while the peer answers probes of its window") {
  constexpr SendQueue kSent{};
  constexpr SendQueue kInFlight{.unsent_bytes = 9, .in_flight_bytes = 9};
  constexpr SendQueue kClosedWindow{.unsent_bytes = 9};
  constexpr SendQueue kUnanswered{.unsent_bytes = 9, .unanswered_probes = 1};
  struct Row {
    std::string name;
    std::vector<SendQueue> samples;
    // After the last sample.
    bool applies;
  };
  for (const Row& row : std::vector<Row>{
           {"all is sent", {kSent}, true},
           {"the network is slow or the peer is gone",
            {kInFlight, kInFlight, kInFlight, kInFlight, kInFlight, kInFlight},
            true},
           {"the peer does not read", {kInFlight, kClosedWindow}, false},
           {"it does not read for long",
            std::vector<SendQueue>(50, kClosedWindow), false},
           {"it reads on", {kClosedWindow, kInFlight}, true},
           {"a probe is on its way", {kClosedWindow, kUnanswered}, false},
           {"probes stay unanswered for less than the limit",
            {kUnanswered, kUnanswered, kUnanswered, kUnanswered, kUnanswered},
            false},
           {"they stay unanswered",
            {kClosedWindow, kUnanswered, kUnanswered, kUnanswered, kUnanswered,
             kUnanswered, kUnanswered},
            true},
           {"one of them is answered",
            {kUnanswered, kUnanswered, kUnanswered, kUnanswered, kClosedWindow,
             kUnanswered, kUnanswered},
            false}}) {
    CAPTURE(row.name);
    ReceiverWatch watch(kLimit);
    MonotonicTime now{std::chrono::hours(1)};
    bool applies = true;
    for (const SendQueue& it : row.samples) {
      applies = watch.LimitApplies(it, now);
      now += kInterval;
    }
    CHECK(applies == row.applies);
  }
}

}  // namespace
}  // namespace flamingogauge
