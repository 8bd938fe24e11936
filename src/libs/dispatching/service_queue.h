#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_SERVICE_QUEUE_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_SERVICE_QUEUE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "libs/dispatching/admission_policy.h"
#include "libs/dispatching/refusal_summary.h"
#include "libs/dispatching/return_schedule.h"
#include "libs/dispatching/service_rate.h"
#include "libs/dispatching/service_times.h"
#include "libs/dispatching/upstream_view.h"
#include "libs/dispatching/waiting_queue.h"
#include "libs/kernel/random.h"
#include "libs/kernel/time.h"

namespace flamingogauge {

// A decision to refuse a request that has not been sent.
struct Rejection {
  std::uint64_t request = 0;
  std::chrono::milliseconds retry_after{0};
  std::string reason;
};

// The waiting requests of one service: which of them is placed next, and which
// are refused.
class ServiceQueue {
 public:
  enum class PlaceResult {
    kPlaced,
    // Others may still be placed.
    kSkipped,
    // No upstream has a free place.
    kSaturated,
  };
  using PlaceFunction = std::function<PlaceResult(const WaitingRequest&)>;

  ServiceQueue(double tokens_per_event,
               std::shared_ptr<const WorkspaceWeights> weights)
      : waiting_(std::move(weights)), times_(tokens_per_event) {}

  void Add(WaitingRequest request);
  // Returns false if the request does not wait here.
  bool Remove(std::uint64_t id) { return waiting_.Remove(id); }

  // Learns from the upstreams of the service.
  void Update(const std::vector<UpstreamView*>& upstreams, MonotonicTime now);
  // Offers the requests in order to `place` until it finds no free place, and
  // removes those that were placed.
  void Place(const PlaceFunction& place, MonotonicTime now);
  // Removes and returns the requests that would wait too long.
  std::vector<Rejection> Reject(Random& random, MonotonicTime now);

  // Decides on a request that is not, or not yet, part of the queue.
  AdmissionDecision Decide(const WaitingRequest& request,
                           MonotonicTime now) const;

  // Returns what has been refused since the last call; none if nothing was.
  std::optional<RefusalSummary> TakeRefusals(MonotonicTime now);

  std::size_t size() const { return waiting_.size(); }
  std::size_t late_count() const { return waiting_.late_count(); }
  // Requests per second that can be placed.
  double RatePerSecond(MonotonicTime now) const {
    return rate_.Measure(now).total;
  }

 private:
  AdmissionDecision DecideAt(const AdmissionCandidate& queued,
                             WaitingQueue::Ahead ahead,
                             const ServiceRates& rates,
                             MonotonicTime now) const;
  Rejection Refuse(const AdmissionCandidate& queued,
                   const AdmissionDecision& decision,
                   Random& random,
                   MonotonicTime now);
  void Record(const AdmissionCandidate& queued,
              const AdmissionDecision& decision,
              const Rejection& rejection);
  void RejectNew(const ServiceRates& rates,
                 std::vector<Rejection>& rejections,
                 Random& random,
                 MonotonicTime now);
  void RejectLate(const ServiceRates& rates,
                  std::vector<Rejection>& rejections,
                  Random& random,
                  MonotonicTime now);

  WaitingQueue waiting_;
  ServiceRate rate_;
  ServiceTimes times_;
  ReturnSchedule returns_;
  RefusalSummary refusals_;
  MonotonicTime late_checked_at_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_SERVICE_QUEUE_H_
