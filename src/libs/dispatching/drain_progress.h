#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_DRAIN_PROGRESS_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_DRAIN_PROGRESS_H_

#include <chrono>
#include <cstddef>
#include <optional>

#include "libs/kernel/time.h"

namespace flamingogauge {

// What a host that shuts down has not finished yet.
struct UnfinishedWork {
  // Accepted requests whose response is not complete.
  std::size_t requests_in_progress = 0;
  // Requests of which a part has been received.
  std::size_t requests_arriving = 0;
  // Complete responses of which a part has not been written to the caller.
  std::size_t responses_unsent = 0;

  bool IsEmpty() const {
    return requests_in_progress + requests_arriving + responses_unsent == 0;
  }
};

enum class DrainAction {
  kWait,
  // Stop listening, and close the connections that have no request.
  kCloseIdle,
  // As kCloseIdle; also end the requests in progress: the time limit passed.
  kAbort,
  // Nothing is left to wait for; the process may exit.
  kFinish,
};

struct DrainOptions {
  // All requests are accepted for this long after the signal, because load
  // balancers have not noticed the shutdown yet. Later ones are accepted only
  // if they will end before `time_limit`.
  std::chrono::milliseconds accept_all_for{2500};
  // Connections are accepted for at least this long.
  std::chrono::milliseconds min_time{3500};
  // Requests in progress are ended this long after the signal.
  std::chrono::milliseconds time_limit{6800};
  // Between closing the idle connections and the exit, so that callers notice
  // the close and a request that crosses it is received.
  std::chrono::milliseconds close_time{300};
};

// Decides what a host that shuts down still accepts and when it may exit: once
// it has been idle, with all connections closed, or after the time limit.
class DrainProgress {
 public:
  DrainProgress(DrainOptions options, MonotonicTime began_at)
      : options_(options), began_at_(began_at) {}

  // Returns true if a request that ends by `deadline` may be started.
  bool AcceptsRequest(MonotonicTime now, MonotonicTime deadline) const;

  // To be called periodically. While IsClosing(), the idle connections have to
  // be closed before `work` is counted.
  DrainAction Check(const UnfinishedWork& work, MonotonicTime now);

  bool IsClosing() const { return closing_since_.has_value(); }
  Duration Elapsed(MonotonicTime now) const { return now - began_at_; }

 private:
  const DrainOptions options_;
  const MonotonicTime began_at_;
  std::optional<MonotonicTime> closing_since_;
  bool aborted_ = false;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_DRAIN_PROGRESS_H_
