#include "libs/dispatching/admission_policy.h"

#include <algorithm>
#include <chrono>

namespace flamingogauge {
namespace {

// The part of the time until its caller gives up for which a late request may
// be expected to wait on arrival, so that few are refused after a wait.
constexpr double kLateWaitShare = 0.5;
// The least part of its time for which a request may wait that holds its place
// for very long; above zero, so that it is admitted when the queue is short.
constexpr double kMinWaitShare = 0.1;

Duration ExpectedWait(std::size_t ahead, double per_second) {
  const std::chrono::duration<double> wait(static_cast<double>(ahead + 1) /
                                           per_second);
  return std::chrono::duration_cast<Duration>(wait);
}

Duration Scaled(Duration time, double factor) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(time) * factor);
}

}  // namespace

AdmissionDecision DecideAdmission(const AdmissionCandidate& queued,
                                  const AdmissionContext& context,
                                  MonotonicTime now) {
  const WaitingRequest& request = queued.request;
  const std::size_t ahead = context.ahead.total();
  const double left = context.rates.LeftFor(request.priority, queued.is_late);
  const bool can_be_on_time =
      !queued.is_late && !queued.is_admitted && !request.was_sent;
  AdmissionDecision decision{
      .ahead = ahead,
      .expected_wait = ExpectedWait(ahead, left),
      .expected_wait_on_return =
          ExpectedWait(ahead, context.rates.LeftFor(request.priority, true))};
  const Duration until_start_by =
      request.start_by - now - context.first_event_time;
  if (can_be_on_time) {
    const double share =
        std::max(kMinWaitShare, 1 / std::max(1.0, context.relative_cost));
    decision.wait_limit = std::min(
        until_start_by,
        Scaled(request.due_at - now - context.first_event_time, share));
  } else if (queued.is_admitted || request.was_sent) {
    decision.wait_limit = until_start_by;
  } else {
    decision.wait_limit = Scaled(until_start_by, kLateWaitShare);
  }
  if (decision.expected_wait <= decision.wait_limit) {
    return decision;
  }
  decision.is_admitted = false;
  decision.reason =
      queued.is_admitted ? "no upstream was free in time" : "would be late";
  return decision;
}

}  // namespace flamingogauge
