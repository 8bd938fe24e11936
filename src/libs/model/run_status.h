#ifndef FLAMINGOGAUGE_LIBS_MODEL_RUN_STATUS_H_
#define FLAMINGOGAUGE_LIBS_MODEL_RUN_STATUS_H_

#include <string_view>

namespace flamingogauge {

// What is known about the execution of a request whose answer is an error.
enum class RunStatus {
  // Nothing was executed, neither now nor by an earlier attempt with the same
  // idempotency key.
  kNotRun,
  // This attempt executed nothing; an earlier attempt may have.
  kAttemptNotRun,
  // This or an earlier attempt may have been executed.
  kUnknown,
  // The upstream executed at least a part, and the answer is incomplete.
  kExecuted,
};

// The value of the Flamingogauge-Run-Status header, for example "not-run".
std::string_view ToString(RunStatus status);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_MODEL_RUN_STATUS_H_
