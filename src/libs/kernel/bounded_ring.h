#ifndef FLAMINGOGAUGE_LIBS_KERNEL_BOUNDED_RING_H_
#define FLAMINGOGAUGE_LIBS_KERNEL_BOUNDED_RING_H_

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace flamingogauge {

// A bounded first-in first-out queue from many producer threads to the one
// thread that owns a duty. Boost.Lockfree's rings are either for one producer
// or need trivially copyable elements and cannot block, so the ring is a
// vector under a mutex.
template <typename T>
class BoundedRing {
 public:
  explicit BoundedRing(std::size_t capacity) : slots_(capacity) {}

  // Appends an element; returns false when the ring is full or closed.
  [[nodiscard]] bool TryPush(T element) {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      if (closed_ || size_ == slots_.size()) {
        return false;
      }
      slots_[(head_ + size_) % slots_.size()] = std::move(element);
      ++size_;
    }
    not_empty_.notify_one();
    return true;
  }

  // Takes the oldest element, waiting until `deadline` for one. Returns
  // nothing at the deadline, or when the ring is closed and empty.
  std::optional<T> PopUntil(std::chrono::steady_clock::time_point deadline) {
    std::unique_lock<std::mutex> lock(mutex_);
    not_empty_.wait_until(lock, deadline,
                          [this] { return closed_ || size_ > 0; });
    return TakeLocked();
  }

  // Takes the oldest element, or nothing when there is none.
  std::optional<T> TryPop() {
    std::lock_guard<std::mutex> lock(mutex_);
    return TakeLocked();
  }

  // Refuses further elements and wakes the consumer; those inside can still
  // be taken.
  void Close() {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      closed_ = true;
    }
    not_empty_.notify_all();
  }

  bool IsClosed() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return closed_;
  }

  std::size_t Size() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return size_;
  }

 private:
  std::optional<T> TakeLocked() {
    if (size_ == 0) {
      return std::nullopt;
    }
    std::optional<T> element(std::move(*slots_[head_]));
    slots_[head_].reset();
    head_ = (head_ + 1) % slots_.size();
    --size_;
    return element;
  }

  mutable std::mutex mutex_;
  std::condition_variable not_empty_;
  std::vector<std::optional<T>> slots_;
  std::size_t head_ = 0;
  std::size_t size_ = 0;
  bool closed_ = false;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_KERNEL_BOUNDED_RING_H_
