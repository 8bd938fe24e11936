#ifndef FLAMINGOGAUGE_LIBS_PLATFORM_VIRTUAL_TASK_RUNNER_H_
#define FLAMINGOGAUGE_LIBS_PLATFORM_VIRTUAL_TASK_RUNNER_H_

#include <cstdint>
#include <map>
#include <utility>

#include "libs/platform/task_runner.h"

namespace flamingogauge {

// Runs tasks in virtual time on the caller's thread, for randomised runs. Not
// safe from several threads.
class VirtualTaskRunner : public TaskRunner {
 public:
  MonotonicTime Now() const override;
  bool Post(Task task) override;
  bool PostAfter(Duration delay, Task task) override;

  // Runs the next task and moves the clock to its time. Returns false when
  // none is left.
  bool RunOne();

  // Drops the tasks that wait. They may share the runner, which would otherwise
  // never be freed.
  void DropTasks();

  // Runs all tasks of the next `duration` and moves the clock to its end.
  void RunFor(Duration duration);

 private:
  using Position = std::pair<MonotonicTime, std::uint64_t>;

  MonotonicTime now_{std::chrono::hours(1)};
  std::map<Position, Task> tasks_;
  std::uint64_t next_sequence_ = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_PLATFORM_VIRTUAL_TASK_RUNNER_H_
