#include "libs/model/run_status.h"

namespace flamingogauge {

std::string_view ToString(RunStatus status) {
  switch (status) {
    case RunStatus::kNotRun:
      return "not-run";
    case RunStatus::kAttemptNotRun:
      return "attempt-not-run";
    case RunStatus::kUnknown:
      return "unknown";
    case RunStatus::kExecuted:
      return "executed";
  }
  return "unknown";
}

}  // namespace flamingogauge
