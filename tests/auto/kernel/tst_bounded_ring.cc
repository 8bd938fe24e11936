#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <thread>
#include <vector>

#include "libs/kernel/bounded_ring.h"

namespace flamingogauge {
namespace {

constexpr std::chrono::seconds kGenerousWait{10};

// Guards against a ring that grows without bound or reorders elements.
TEST_CASE("BoundedRing refuses elements beyond its capacity") {
  struct Row {
    std::size_t capacity;
    int pushed;
    int accepted;
  };
  for (const Row& row : {Row{1, 3, 1}, Row{4, 4, 4}, Row{4, 9, 4}}) {
    CAPTURE(row.capacity);
    BoundedRing<int> ring(row.capacity);
    int accepted = 0;
    for (int it = 0; it < row.pushed; ++it) {
      accepted += ring.TryPush(it) ? 1 : 0;
    }
    CHECK(accepted == row.accepted);
    for (int it = 0; it < row.accepted; ++it) {
      CHECK(ring.TryPop() == it);
    }
    CHECK_FALSE(ring.TryPop().has_value());
  }
}

// Guards against elements lost or duplicated under concurrent producers.
TEST_CASE("BoundedRing delivers each element of several producers once") {
  constexpr int kProducers = 4;
  constexpr int kElements = 5000;
  BoundedRing<int> ring(64);
  std::vector<std::thread> producers;
  for (int producer = 0; producer < kProducers; ++producer) {
    producers.emplace_back([&ring, producer] {
      for (int it = 0; it < kElements; ++it) {
        while (!ring.TryPush(producer * kElements + it)) {
          std::this_thread::yield();
        }
      }
    });
  }
  std::vector<int> seen(kProducers * kElements, 0);
  for (int it = 0; it < kProducers * kElements; ++it) {
    const auto element =
        ring.PopUntil(std::chrono::steady_clock::now() + kGenerousWait);
    REQUIRE(element.has_value());
    ++seen[static_cast<std::size_t>(*element)];
  }
  for (std::thread& it : producers) {
    it.join();
  }
  CHECK(std::count(seen.begin(), seen.end(), 1) == kProducers * kElements);
}

// Guards against a consumer that waits for ever after the ring is closed.
TEST_CASE("BoundedRing wakes its consumer on Close") {
  BoundedRing<int> ring(2);
  REQUIRE(ring.TryPush(7));
  std::thread closer([&ring] { ring.Close(); });
  const auto deadline = std::chrono::steady_clock::now() + kGenerousWait;
  CHECK(ring.PopUntil(deadline) == 7);
  CHECK_FALSE(ring.PopUntil(deadline).has_value());
  CHECK(std::chrono::steady_clock::now() < deadline);
  closer.join();
  CHECK_FALSE(ring.TryPush(8));
}

}  // namespace
}  // namespace flamingogauge
