#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_REFUSAL_SUMMARY_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_REFUSAL_SUMMARY_H_

#include <chrono>
#include <cstddef>
#include <string>

#include "libs/kernel/time.h"

namespace flamingogauge {

// The refusals of a service since the last summary, with the figures of the
// decision on the most urgent one.
struct RefusalSummary {
  std::string service;
  int refused = 0;
  // Of them, requests whose callers had returned as they were told.
  int returned = 0;
  int priority = 0;
  std::string reason;
  Duration expected_wait{0};
  // The longest wait with which it would have been admitted.
  Duration wait_limit{0};
  std::chrono::milliseconds retry_after{0};
  // Requests that would have been placed before it.
  std::size_t ahead = 0;
  // Requests of the service that wait, and those of them that are late.
  std::size_t waiting = 0;
  std::size_t late = 0;
  // Requests of the service that can be placed per second.
  double placed_per_second = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_REFUSAL_SUMMARY_H_
