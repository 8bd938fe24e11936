#include "libs/dispatching/service_queue.h"

#include <algorithm>
#include <utility>

namespace flamingogauge {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// The interval at which the prospects of late requests are checked.
constexpr milliseconds kLateCheckInterval{10};
// Callers keep to a delay of up to this part of the time that they have left.
constexpr int kHonouredDelayDivisor = 3;
// The part of the placements that returning callers can count on at least.
constexpr double kMinReturnShare = 0.1;

}  // namespace

void ServiceQueue::Add(WaitingRequest request) {
  times_.OnArrived(request);
  const MonotonicTime on_time_until =
      request.due_at - times_.MeasuredFirstEventTime(request);
  waiting_.Add(std::move(request), on_time_until);
}

void ServiceQueue::Update(const std::vector<UpstreamView*>& upstreams,
                          MonotonicTime now) {
  times_.Update(upstreams, now);
  int places = 0;
  double limited_rate = 0;
  for (const UpstreamView* it : upstreams) {
    if (it->IsAvailable(now) && !it->IsSuspect(now)) {
      places += it->Places(now);
      limited_rate += it->rate_limit().UsableRate();
    }
  }
  rate_.SetPlaces(places);
  rate_.SetLimitedRate(limited_rate);
}

void ServiceQueue::Place(const PlaceFunction& place, MonotonicTime now) {
  waiting_.Advance(now);
  std::vector<std::uint64_t> placed;
  waiting_.ForEachInOrder([&](const AdmissionCandidate& it) {
    switch (place(it.request)) {
      case PlaceResult::kPlaced:
        rate_.OnPlaced(it.request.priority, !it.is_late, now);
        placed.push_back(it.request.id);
        return true;
      case PlaceResult::kSkipped:
        return true;
      case PlaceResult::kSaturated:
        break;
    }
    return false;
  });
  for (const std::uint64_t it : placed) {
    waiting_.RemovePlaced(it);
  }
}

std::vector<Rejection> ServiceQueue::Reject(Random& random, MonotonicTime now) {
  std::vector<Rejection> rejections;
  if (waiting_.size() == 0) {
    return rejections;
  }
  waiting_.Advance(now);
  const ServiceRates rates = rate_.Measure(now);
  RejectNew(rates, rejections, random, now);
  if (now - late_checked_at_ >= kLateCheckInterval) {
    late_checked_at_ = now;
    RejectLate(rates, rejections, random, now);
  }
  return rejections;
}

void ServiceQueue::RejectNew(const ServiceRates& rates,
                             std::vector<Rejection>& rejections,
                             Random& random,
                             MonotonicTime now) {
  for (const std::uint64_t id : waiting_.NewRequests()) {
    const AdmissionCandidate& queued = *waiting_.Find(id);
    const AdmissionDecision decision =
        DecideAt(queued, waiting_.CountAhead(queued), rates, now);
    if (decision.is_admitted) {
      waiting_.SetAdmitted(id);
      continue;
    }
    rejections.push_back(Refuse(queued, decision, random, now));
    waiting_.Remove(id);
  }
}

void ServiceQueue::RejectLate(const ServiceRates& rates,
                              std::vector<Rejection>& rejections,
                              Random& random,
                              MonotonicTime now) {
  WaitingQueue::Ahead ahead{.less_urgent =
                                waiting_.size() - waiting_.late_count()};
  std::vector<std::uint64_t> refused;
  waiting_.ForEachLate([&](const AdmissionCandidate& it) {
    const AdmissionDecision decision = DecideAt(it, ahead, rates, now);
    if (decision.is_admitted) {
      ++ahead.more_urgent;
    } else {
      rejections.push_back(Refuse(it, decision, random, now));
      refused.push_back(it.request.id);
    }
    return true;
  });
  for (const std::uint64_t it : refused) {
    waiting_.Remove(it);
  }
}

AdmissionDecision ServiceQueue::DecideAt(const AdmissionCandidate& queued,
                                         WaitingQueue::Ahead ahead,
                                         const ServiceRates& rates,
                                         MonotonicTime now) const {
  return DecideAdmission(
      queued,
      {.ahead = ahead,
       .rates = rates,
       .first_event_time = times_.FirstEventTime(queued.request),
       .relative_cost = times_.RelativeCost(queued.request)},
      now);
}

AdmissionDecision ServiceQueue::Decide(const WaitingRequest& request,
                                       MonotonicTime now) const {
  const MonotonicTime on_time_until =
      request.due_at - times_.MeasuredFirstEventTime(request);
  const AdmissionCandidate queued{
      .request = request,
      .on_time_until = on_time_until,
      .is_late = on_time_until < now || request.due_at <= request.arrived_at};
  return DecideAt(queued, waiting_.CountAhead(queued), rate_.Measure(now), now);
}

Rejection ServiceQueue::Refuse(const AdmissionCandidate& queued,
                               const AdmissionDecision& decision,
                               Random& random,
                               MonotonicTime now) {
  const WaitingRequest& request = queued.request;
  const ServiceRates rates = rate_.Measure(now);
  const milliseconds delay = returns_.Book(
      {.priority = request.priority,
       .earliest =
           duration_cast<milliseconds>(decision.expected_wait_on_return),
       .latest = duration_cast<milliseconds>(request.deadline - now) /
                 kHonouredDelayDivisor,
       .per_second = std::max(rates.LeftFor(request.priority, true),
                              rates.total * kMinReturnShare)},
      now, random);
  Rejection rejection{
      .request = request.id, .retry_after = delay, .reason = decision.reason};
  Record(queued, decision, rejection);
  return rejection;
}

void ServiceQueue::Record(const AdmissionCandidate& queued,
                          const AdmissionDecision& decision,
                          const Rejection& rejection) {
  const int priority = queued.request.priority;
  const bool is_first = refusals_.refused++ == 0;
  refusals_.returned += queued.request.returned ? 1 : 0;
  if (is_first || priority < refusals_.priority) {
    refusals_.priority = priority;
    refusals_.reason = rejection.reason;
    refusals_.expected_wait = decision.expected_wait;
    refusals_.wait_limit = decision.wait_limit;
    refusals_.retry_after = rejection.retry_after;
    refusals_.ahead = decision.ahead;
  }
}

std::optional<RefusalSummary> ServiceQueue::TakeRefusals(MonotonicTime now) {
  if (refusals_.refused == 0) {
    return std::nullopt;
  }
  RefusalSummary summary = std::exchange(refusals_, {});
  summary.waiting = waiting_.size();
  summary.late = waiting_.late_count();
  summary.placed_per_second = rate_.Measure(now).total;
  return summary;
}

}  // namespace flamingogauge
