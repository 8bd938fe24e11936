#ifndef FLAMINGOGAUGE_LIBS_PLATFORM_VIRTUAL_TASK_RUNNER_H_
#define FLAMINGOGAUGE_LIBS_PLATFORM_VIRTUAL_TASK_RUNNER_H_

#include <cstdint>
#include <map>
#include <utility>

#include "libs/platform/task_runner.h"

namespace flamingogauge {

// Runs tasks in virtual time on the caller's thread, for randomised runs. Not
// thread-safe.
class VirtualTaskRunner : public TaskRunner {
 public:
  MonotonicTime Now() const override;
  bool Post(Task task) override;
  bool PostAfter(Duration delay, Task task) override;

  // Advances the clock to the due time of the next task and runs it. Returns
  // false if no task is pending.
  bool RunOne();

  // Drops the pending tasks. They may share ownership of the runner, which
  // would otherwise never be freed.
  void DropTasks();

  // Runs all tasks due within `duration` and advances the clock to its end.
  void RunFor(Duration duration);

 private:
  using TaskOrder = std::pair<MonotonicTime, std::uint64_t>;

  MonotonicTime now_{std::chrono::hours(1)};
  std::map<TaskOrder, Task> tasks_;
  std::uint64_t next_sequence_ = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_PLATFORM_VIRTUAL_TASK_RUNNER_H_
