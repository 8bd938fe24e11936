#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

#include "plugins/gateway/delivery_progress.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLimit{6000};
constexpr milliseconds kInterval{500};
constexpr int kResponse = 1000;

SendQueue Waiting(int bytes) {
  return {.unsent_bytes = bytes};
}

// Guards against a caller that reads in small steps being taken for one that
// reads nothing, against one that reads nothing being kept for ever, and
// against what the kernel holds being left out of the memory held.
TEST_CASE("progress is what the caller takes from the kernel") {
  struct Row {
    std::string name;
    std::vector<SendQueue> samples;
    // Since the caller has last taken bytes, at the last sample.
    milliseconds since;
    std::size_t kernel_bytes;
    bool limit_applies;
  };
  for (const Row& row : std::vector<Row>{
           {"all is sent", {SendQueue()}, milliseconds(0), 0, true},
           {"nothing is read", std::vector<SendQueue>(20, Waiting(kResponse)),
            20 * kInterval, kResponse, false},
           {"a part is read, then nothing",
            {Waiting(900), Waiting(900), Waiting(900)},
            2 * kInterval,
            900,
            false},
           {"a part is read each time",
            {Waiting(900), Waiting(899), Waiting(898)},
            milliseconds(0),
            898,
            false},
           {"bytes are in flight and none is acknowledged",
            {{.unsent_bytes = 500, .in_flight_bytes = 500},
             {.unsent_bytes = 400, .in_flight_bytes = 600}},
            2 * kInterval,
            400,
            true},
           {"the caller is gone",
            std::vector<SendQueue>(
                14, {.unsent_bytes = kResponse, .unanswered_probes = 2}),
            14 * kInterval, kResponse, true}}) {
    CAPTURE(row.name);
    DeliveryProgress progress(kLimit);
    MonotonicTime now{std::chrono::hours(1)};
    progress.OnWaiting(now);
    progress.OnWritten(kResponse, now);
    bool applies = true;
    for (const SendQueue& it : row.samples) {
      now += kInterval;
      applies = progress.OnSample(it, now);
    }
    CHECK(now - progress.last_taken_at() == row.since);
    CHECK(progress.kernel_bytes() == row.kernel_bytes);
    CHECK(applies == row.limit_applies);
  }
}

// Guards against time without a response counting as time without reading.
TEST_CASE("the time starts when a response begins to wait") {
  DeliveryProgress progress(kLimit);
  MonotonicTime now{std::chrono::hours(1)};
  progress.OnWritten(kResponse, now);
  now += std::chrono::seconds(60);
  progress.OnWaiting(now);
  progress.OnSample(Waiting(kResponse), now + kInterval);
  CHECK(now + kInterval - progress.last_taken_at() == kInterval);
}

}  // namespace
}  // namespace flamingogauge
