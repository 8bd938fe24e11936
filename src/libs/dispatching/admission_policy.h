#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_ADMISSION_POLICY_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_ADMISSION_POLICY_H_

#include <cstddef>
#include <string>

#include "libs/dispatching/service_rate.h"
#include "libs/dispatching/waiting_queue.h"
#include "libs/kernel/time.h"

namespace flamingogauge {

// What the decision on a waiting request depends on besides the request.
struct AdmissionContext {
  WaitingQueue::Ahead ahead;
  ServiceRates rates;
  // Expected time from the placement to the first event.
  Duration first_event_time{0};
  // The time for which the request is expected to hold its place, divided by
  // the mean of its kind.
  double relative_cost = 1;
};

// Whether a request keeps waiting, and why not.
struct AdmissionDecision {
  bool is_admitted = true;
  // Requests that are placed before it.
  std::size_t ahead = 0;
  // Until it is placed; at least 0.
  Duration expected_wait{0};
  // The longest wait with which it is admitted; may be negative.
  Duration wait_limit{0};
  // Until a request that is sent again after a refusal is placed.
  Duration expected_wait_on_return{0};
  // Empty if it is admitted.
  std::string reason;
};

// Decides whether a request waits for an upstream or is refused. The requests
// ahead and the rate at which requests are placed give its expected wait:
// - A new request that can still be on time is admitted if its expected wait is
//   within the time that it has, or within a part of it if it holds its place
//   for longer than the mean of its kind: while a queue grows, those that take
//   most are refused first.
// - A request that can no longer be on time is admitted if its expected wait is
//   half of the time until its caller gives up. It, and one that was sent
//   before, then waits as long as it can start in that time.
// More urgent requests count as ahead whether they are late or not, so that in
// an overload the less urgent ones are refused before the more urgent ones.
//
// Load patterns: a burst of urgent requests whose late ones are refused while
// short, less urgent ones are served; a queue so long that all of it is late.
AdmissionDecision DecideAdmission(const AdmissionCandidate& queued,
                                  const AdmissionContext& context,
                                  MonotonicTime now);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_ADMISSION_POLICY_H_
