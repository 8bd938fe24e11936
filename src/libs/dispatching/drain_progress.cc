#include "libs/dispatching/drain_progress.h"

namespace flamingogauge {

bool DrainProgress::AcceptsRequest(MonotonicTime now,
                                   MonotonicTime deadline) const {
  return Elapsed(now) < options_.accept_all_for ||
         Elapsed(deadline) < options_.time_limit;
}

DrainAction DrainProgress::Check(const UnfinishedWork& work,
                                 MonotonicTime now) {
  const Duration elapsed = Elapsed(now);
  if (!aborted_ && elapsed >= options_.time_limit) {
    aborted_ = true;
    closing_since_ = now;
    return DrainAction::kAbort;
  }
  if (!closing_since_) {
    if (elapsed < options_.min_time || !work.IsEmpty()) {
      return DrainAction::kWait;
    }
    closing_since_ = now;
    return DrainAction::kCloseIdle;
  }
  const bool is_done = aborted_ || work.IsEmpty();
  return is_done && now - *closing_since_ >= options_.close_time
             ? DrainAction::kFinish
             : DrainAction::kCloseIdle;
}

}  // namespace flamingogauge
