#include "libs/kernel/check.h"

#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <utility>

namespace flamingogauge {
namespace {

void PrintAndAbort(const InvariantViolation& violation) {
  std::fprintf(
      stderr, "invariant %.*s violated: %.*s: %s (%s:%d)\n",
      static_cast<int>(violation.invariant.size()), violation.invariant.data(),
      static_cast<int>(violation.condition.size()), violation.condition.data(),
      violation.detail.c_str(), violation.file, violation.line);
  std::fflush(stderr);
  std::abort();
}

std::mutex& HandlerMutex() {
  static std::mutex mutex;
  return mutex;
}

InvariantViolationHandler& Handler() {
  static InvariantViolationHandler handler = PrintAndAbort;
  return handler;
}

}  // namespace

InvariantViolationHandler SetInvariantViolationHandler(
    InvariantViolationHandler handler) {
  std::lock_guard<std::mutex> lock(HandlerMutex());
  return std::exchange(Handler(), std::move(handler));
}

void ReportInvariantViolation(const InvariantViolation& violation) {
  InvariantViolationHandler handler;
  {
    std::lock_guard<std::mutex> lock(HandlerMutex());
    handler = Handler();
  }
  handler(violation);
}

}  // namespace flamingogauge
