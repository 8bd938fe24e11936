#include "libs/platform/virtual_task_runner.h"

namespace flamingogauge {

MonotonicTime VirtualTaskRunner::Now() const {
  return now_;
}

bool VirtualTaskRunner::Post(Task task) {
  return PostAfter(Duration::zero(), std::move(task));
}

bool VirtualTaskRunner::PostAfter(Duration delay, Task task) {
  tasks_.emplace(TaskOrder(now_ + delay, next_sequence_++), std::move(task));
  return true;
}

bool VirtualTaskRunner::RunOne() {
  if (tasks_.empty()) {
    return false;
  }
  now_ = tasks_.begin()->first.first;
  Task task = std::move(tasks_.begin()->second);
  tasks_.erase(tasks_.begin());
  task();
  return true;
}

void VirtualTaskRunner::DropTasks() {
  std::map<TaskOrder, Task> dropped;
  dropped.swap(tasks_);
}

void VirtualTaskRunner::RunFor(Duration duration) {
  const MonotonicTime end = now_ + duration;
  while (!tasks_.empty() && tasks_.begin()->first.first <= end) {
    RunOne();
  }
  now_ = end;
}

}  // namespace flamingogauge
