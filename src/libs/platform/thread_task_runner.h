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

// Runs tasks on one thread of its own. Safe from any thread.
class ThreadTaskRunner : public TaskRunner {
 public:
  // `capacity` bounds the tasks that wait, delayed ones included.
  explicit ThreadTaskRunner(std::size_t capacity);
  ThreadTaskRunner(const ThreadTaskRunner&) = delete;
  ThreadTaskRunner& operator=(const ThreadTaskRunner&) = delete;
  ~ThreadTaskRunner() override;

  MonotonicTime Now() const override;
  bool Post(Task task) override;
  bool PostAfter(Duration delay, Task task) override;

  // Drops the tasks that wait and joins the thread. Not to be called from a
  // task.
  void Stop();

 private:
  // The sequence number keeps tasks of equal time in order.
  using Position = std::pair<MonotonicTime, std::uint64_t>;

  void Run();

  const std::size_t capacity_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<Position, Task> tasks_;
  std::uint64_t next_sequence_ = 0;
  bool stopped_ = false;
  std::thread thread_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_PLATFORM_THREAD_TASK_RUNNER_H_
