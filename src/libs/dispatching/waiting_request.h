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

// A request that waits for an upstream.
struct WaitingRequest {
  // Unique within the process.
  std::uint64_t id = 0;
  std::string service;
  // 0 is the most urgent.
  int priority = 0;
  MonotonicTime arrived_at;
  // The target time of the response; a later one is late but still delivered.
  MonotonicTime due_at;
  // The caller waits for the first event until this time.
  MonotonicTime start_by;
  // The response must be complete by this time.
  MonotonicTime deadline;
  double prompt_tokens = 0;
  // The caller's estimate of the output length; 0 if there is none.
  double expected_output_tokens = 0;
  std::vector<PromptPart> prompt_parts;
  // True if the request was sent before and is resent or resumed on another
  // upstream; it then waits for as long as its caller does.
  bool was_sent = false;
  // Hash of the workspace's name; 0 on anonymous routes.
  std::uint64_t workspace = 0;
  // True if its caller was refused before and returns as it was told.
  bool returned = false;
  // Upstreams that this request has already been sent to.
  std::vector<std::string> excluded_upstreams;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_WAITING_REQUEST_H_
