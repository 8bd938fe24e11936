#ifndef FLAMINGOGAUGE_LIBS_EVENT_LOOP_EVENT_LOOP_H_
#define FLAMINGOGAUGE_LIBS_EVENT_LOOP_EVENT_LOOP_H_

#include <kj/async-io.h>

#include <functional>
#include <memory>
#include <thread>

#include "libs/kernel/bounded_ring.h"

namespace flamingogauge {

// Runs a kj event loop on its own thread. Other threads post tasks through a
// bounded ring; an eventfd wakes the loop.
class EventLoop {
 public:
  using Task = std::function<void()>;
  // Creates the object that lives on the loop; it is destroyed on the loop's
  // thread when the loop stops.
  using Setup = std::function<std::shared_ptr<void>(kj::AsyncIoContext&)>;

  explicit EventLoop(std::size_t queue_capacity);
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;
  ~EventLoop();

  // Starts the thread and waits until `setup` has returned.
  void Start(Setup setup);

  // Stops the loop and joins its thread; pending tasks are dropped.
  void Stop();

  // Posts a task from any thread; returns false when the ring is full or the
  // loop has stopped. Tasks posted before Start run after it.
  [[nodiscard]] bool Post(Task task);

  std::size_t QueueSize() const { return tasks_.Size(); }

 private:
  void Run(const Setup& setup, const std::function<void()>& started);
  void RunTasks();
  void Wake() const;
  kj::Promise<void> ReadWakeups(kj::AsyncInputStream& wakeups);

  BoundedRing<Task> tasks_;
  int wake_fd_;
  std::thread thread_;
  // Used on the loop's thread only.
  kj::Own<kj::PromiseFulfiller<void>> stop_;
  std::uint64_t wake_buffer_ = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_EVENT_LOOP_EVENT_LOOP_H_
