#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_WAITING_REQUEST_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_WAITING_REQUEST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libs/kernel/time.h"

namespace flamingogauge {

// A part of a prompt that several requests may share.
struct PromptPart {
  std::uint64_t id = 0;
  double tokens = 0;
};

// What the dispatcher knows of a request that waits for an upstream.
struct WaitingRequest {
  // Unique within the process.
  std::uint64_t id = 0;
  std::string service;
  // 0 is the most urgent.
  int priority = 0;
  MonotonicTime arrived_at;
  // Later than this the answer is late, but still wanted.
  MonotonicTime due_at;
  // Later than this the caller does not wait for a first event any more.
  MonotonicTime start_by;
  // Later than this nobody waits for the end of the answer.
  MonotonicTime deadline;
  double prompt_tokens = 0;
  // The caller's estimate of the output; 0 when there is none.
  double expected_output_tokens = 0;
  std::vector<PromptPart> prompt_parts;
  // True when the request was sent before and goes on elsewhere; it waits as
  // long as its caller does.
  bool was_sent = false;
  // Upstreams that this request was sent to before.
  std::vector<std::string> excluded_upstreams;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_WAITING_REQUEST_H_
