#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "libs/kernel/process_life.h"

namespace flamingogauge {
namespace {

using std::chrono::seconds;

constexpr MonotonicTime kStart{seconds(100)};

enum class Event { kReload, kStop, kInterrupt, kDrained };

constexpr std::array<Event, 4> kEvents = {Event::kReload, Event::kStop,
                                          Event::kInterrupt, Event::kDrained};

ProcessAction Apply(ProcessLife& life, Event event, MonotonicTime now) {
  switch (event) {
    case Event::kReload:
      return life.OnRequest(ProcessRequest::kReload, now);
    case Event::kStop:
      return life.OnRequest(ProcessRequest::kStop, now);
    case Event::kInterrupt:
      return life.OnRequest(ProcessRequest::kInterrupt, now);
    case Event::kDrained:
      life.OnDrained();
      return ProcessAction::kIgnore;
  }
  return ProcessAction::kIgnore;
}

// Guards against a signal that ends a process while its requests are in flight,
// whatever arrived before it.
TEST_CASE("only a completed drain or an interrupt during it ends a process") {
  constexpr std::size_t kLength = 6;
  std::size_t orders = 1;
  for (std::size_t it = 0; it < kLength; ++it) {
    orders *= kEvents.size();
  }
  for (std::size_t order = 0; order < orders; ++order) {
    ProcessLife life;
    int drains = 0;
    std::size_t rest = order;
    for (std::size_t it = 0; it < kLength; ++it, rest /= kEvents.size()) {
      const Event event = kEvents[rest % kEvents.size()];
      CAPTURE(order);
      CAPTURE(it);
      const ProcessStage before = life.stage();
      const ProcessAction action =
          Apply(life, event, kStart + seconds(static_cast<long>(it)));
      drains += action == ProcessAction::kDrain ? 1 : 0;
      CHECK(life.stage() >= before);
      if (before != ProcessStage::kEnded &&
          life.stage() == ProcessStage::kEnded) {
        CHECK(before == ProcessStage::kDraining);
        CHECK((event == Event::kDrained || event == Event::kInterrupt));
      }
      CHECK((action == ProcessAction::kExitAtOnce) ==
            (before == ProcessStage::kDraining && event == Event::kInterrupt));
      CHECK((action == ProcessAction::kReload) ==
            (before == ProcessStage::kServing && event == Event::kReload));
    }
    CHECK(drains <= 1);
  }
}

// Guards against a log that misstates how long a process has been draining.
TEST_CASE("the time of a drain counts from the first stop request") {
  ProcessLife life;
  CHECK(life.DrainingFor(kStart) == seconds(0));
  CHECK(life.OnRequest(ProcessRequest::kStop, kStart) == ProcessAction::kDrain);
  CHECK(life.OnRequest(ProcessRequest::kStop, kStart + seconds(1)) ==
        ProcessAction::kIgnore);
  CHECK(life.DrainingFor(kStart + seconds(3)) == seconds(3));
}

}  // namespace
}  // namespace flamingogauge
