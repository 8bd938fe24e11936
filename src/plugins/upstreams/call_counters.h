#ifndef FLAMINGOGAUGE_PLUGINS_UPSTREAMS_CALL_COUNTERS_H_
#define FLAMINGOGAUGE_PLUGINS_UPSTREAMS_CALL_COUNTERS_H_

#include <cstdint>
#include <string>

#include "libs/kernel/error.h"
#include "libs/services/upstream_client.h"

namespace flamingogauge {

// Counts calls by outcome, together with stream resumes, cancels and polls. Not
// thread-safe; used only on the client's thread.
struct CallCounters {
  std::uint64_t started = 0;
  std::uint64_t completed = 0;
  std::uint64_t failed_nothing_sent = 0;
  std::uint64_t failed_not_executed = 0;
  std::uint64_t failed_maybe_executed = 0;
  // Subsets of the three failure counters above.
  std::uint64_t cancelled = 0;
  std::uint64_t timed_out = 0;
  std::uint64_t peer_crashed = 0;
  std::uint64_t resumes = 0;
  std::uint64_t duplicates_dropped = 0;
  std::uint64_t reordered = 0;
  // Automatic retries by libcurl that were prevented.
  std::uint64_t repeats_prevented = 0;
  std::uint64_t engine_cancels = 0;
  std::uint64_t engine_cancels_dropped = 0;
  std::uint64_t polls_ok = 0;
  std::uint64_t polls_failed = 0;

  void CountFailure(ErrorCode code, ExecutionKnowledge knowledge);

  // Formats as a JSON object.
  std::string ToJson() const;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_UPSTREAMS_CALL_COUNTERS_H_
