#ifndef FLAMINGOGAUGE_LIBS_PLATFORM_THREAD_TASK_RUNNER_H_
#define FLAMINGOGAUGE_LIBS_PLATFORM_THREAD_TASK_RUNNER_H_

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

#include "libs/platform/task_runner.h"

namespace flamingogauge {

// Runs tasks on a dedicated thread. Thread-safe.
class ThreadTaskRunner : public TaskRunner {
 public:
  // `capacity` is the maximum number of pending tasks, including delayed ones.
  explicit ThreadTaskRunner(std::size_t capacity);
  ThreadTaskRunner(const ThreadTaskRunner&) = delete;
  ThreadTaskRunner& operator=(const ThreadTaskRunner&) = delete;
  ~ThreadTaskRunner() override;

  MonotonicTime Now() const override;
  bool Post(Task task) override;
  bool PostAfter(Duration delay, Task task) override;

  // Drops the pending tasks and joins the thread. Must not be called from a
  // task.
  void Stop();

 private:
  // The due time and a sequence number that keeps tasks with equal due times in
  // posting order.
  using TaskOrder = std::pair<MonotonicTime, std::uint64_t>;

  void Run();

  const std::size_t capacity_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<TaskOrder, Task> tasks_;
  std::uint64_t next_sequence_ = 0;
  bool stopped_ = false;
  std::thread thread_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_PLATFORM_THREAD_TASK_RUNNER_H_
