#include "libs/platform/thread_task_runner.h"

namespace flamingogauge {

ThreadTaskRunner::ThreadTaskRunner(std::size_t capacity)
    : capacity_(capacity), thread_([this] { Run(); }) {}

ThreadTaskRunner::~ThreadTaskRunner() {
  Stop();
}

MonotonicTime ThreadTaskRunner::Now() const {
  return std::chrono::steady_clock::now();
}

bool ThreadTaskRunner::Post(Task task) {
  return PostAfter(Duration::zero(), std::move(task));
}

bool ThreadTaskRunner::PostAfter(Duration delay, Task task) {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    if (stopped_ || tasks_.size() >= capacity_) {
      return false;
    }
    tasks_.emplace(TaskOrder(Now() + delay, next_sequence_++), std::move(task));
  }
  changed_.notify_one();
  return true;
}

void ThreadTaskRunner::Stop() {
  std::map<TaskOrder, Task> dropped;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    stopped_ = true;
    dropped.swap(tasks_);
  }
  changed_.notify_one();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void ThreadTaskRunner::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!stopped_) {
    if (tasks_.empty()) {
      changed_.wait(lock);
      continue;
    }
    const MonotonicTime due = tasks_.begin()->first.first;
    if (due > Now()) {
      changed_.wait_until(lock, due);
      continue;
    }
    Task task = std::move(tasks_.begin()->second);
    tasks_.erase(tasks_.begin());
    lock.unlock();
    task();
    // Captured objects are destroyed without holding the lock because their
    // destructors may post tasks.
    task = nullptr;
    lock.lock();
  }
}

}  // namespace flamingogauge
