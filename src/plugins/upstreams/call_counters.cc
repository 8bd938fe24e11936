#include "plugins/upstreams/call_counters.h"

#include <nlohmann/json.hpp>

namespace flamingogauge {

void CallCounters::CountFailure(ErrorCode code, ExecutionKnowledge knowledge) {
  switch (knowledge) {
    case ExecutionKnowledge::kNothingSent:
      ++failed_nothing_sent;
      break;
    case ExecutionKnowledge::kNotExecuted:
      ++failed_not_executed;
      break;
    case ExecutionKnowledge::kMaybeExecuted:
      ++failed_maybe_executed;
      break;
  }
  if (code == ErrorCode::kCancelled) {
    ++cancelled;
  } else if (code == ErrorCode::kTimeout) {
    ++timed_out;
  } else if (code == ErrorCode::kPeerCrashed) {
    ++peer_crashed;
  }
}

std::string CallCounters::ToJson() const {
  return nlohmann::json{{"started", started},
                        {"completed", completed},
                        {"failed_nothing_sent", failed_nothing_sent},
                        {"failed_not_executed", failed_not_executed},
                        {"failed_maybe_executed", failed_maybe_executed},
                        {"cancelled", cancelled},
                        {"timed_out", timed_out},
                        {"peer_crashed", peer_crashed},
                        {"resumes", resumes},
                        {"duplicates_dropped", duplicates_dropped},
                        {"reordered", reordered},
                        {"repeats_prevented", repeats_prevented},
                        {"engine_cancels", engine_cancels},
                        {"engine_cancels_dropped", engine_cancels_dropped},
                        {"polls_ok", polls_ok},
                        {"polls_failed", polls_failed}}
      .dump();
}

}  // namespace flamingogauge
