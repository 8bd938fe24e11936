#ifndef FLAMINGOGAUGE_LIBS_HTTP_SERVER_HELD_MEMORY_H_
#define FLAMINGOGAUGE_LIBS_HTTP_SERVER_HELD_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <vector>

#include "libs/limits/memory_budget.h"

namespace flamingogauge {

// A memory budget that several threads use.
class HeldMemory {
 public:
  explicit HeldMemory(std::size_t max_bytes) : budget_(max_bytes) {}

  void Set(std::uint64_t connection, HeldKind kind, std::size_t bytes) {
    std::lock_guard<std::mutex> lock(mutex_);
    budget_.Set(connection, kind, bytes);
  }
  void Remove(std::uint64_t connection) {
    std::lock_guard<std::mutex> lock(mutex_);
    budget_.Remove(connection);
  }
  // Returns the connections to close, and no longer accounts what is held for
  // them.
  std::vector<std::uint64_t> TakeToClose() {
    std::lock_guard<std::mutex> lock(mutex_);
    std::vector<std::uint64_t> chosen = budget_.ChooseToClose();
    for (const std::uint64_t it : chosen) {
      budget_.Remove(it);
    }
    return chosen;
  }
  std::size_t total() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return budget_.total();
  }

 private:
  mutable std::mutex mutex_;
  MemoryBudget budget_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_HTTP_SERVER_HELD_MEMORY_H_
