#ifndef FLAMINGOGAUGE_LIBS_PLATFORM_TASK_RUNNER_H_
#define FLAMINGOGAUGE_LIBS_PLATFORM_TASK_RUNNER_H_

#include <functional>

#include "libs/kernel/time.h"

namespace flamingogauge {

// Runs tasks sequentially in the order of their due times. The daemon uses an
// implementation with a thread, randomised runs one with virtual time.
class TaskRunner {
 public:
  using Task = std::function<void()>;

  virtual ~TaskRunner() = default;

  virtual MonotonicTime Now() const = 0;

  // Runs the task as soon as possible. Returns false and drops the task if the
  // queue is full or the runner has stopped.
  [[nodiscard]] virtual bool Post(Task task) = 0;

  // Runs the task after a delay, under the same conditions.
  [[nodiscard]] virtual bool PostAfter(Duration delay, Task task) = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_PLATFORM_TASK_RUNNER_H_
