#ifndef FLAMINGOGAUGE_LIBS_PLATFORM_TASK_RUNNER_H_
#define FLAMINGOGAUGE_LIBS_PLATFORM_TASK_RUNNER_H_

#include <functional>

#include "libs/kernel/time.h"

namespace flamingogauge {

// Runs tasks one after another, in the order of their times. Code written for
// it runs on a thread in the daemon and in virtual time in randomised runs.
class TaskRunner {
 public:
  using Task = std::function<void()>;

  virtual ~TaskRunner() = default;

  virtual MonotonicTime Now() const = 0;

  // Runs the task as soon as possible. Returns false, and drops the task, when
  // the queue is full or the runner has stopped.
  [[nodiscard]] virtual bool Post(Task task) = 0;

  // Runs the task after a delay, under the same conditions.
  [[nodiscard]] virtual bool PostAfter(Duration delay, Task task) = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_PLATFORM_TASK_RUNNER_H_
