// The part of Dispatcher that answers questions.
#include <algorithm>
#include <tuple>
#include <utility>

#include "libs/dispatching/dispatcher.h"
#include "libs/dispatching/return_schedule.h"

namespace flamingogauge {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

std::vector<CostPart> ToParts(const PlacementCostParts& cost) {
  return {{.name = "start", .seconds = cost.start},
          {.name = "load", .seconds = cost.load},
          {.name = "output", .seconds = cost.output},
          {.name = "distance", .seconds = cost.distance},
          {.name = "failures", .seconds = cost.failures}};
}

// The state of a candidate with this obstacle that is not chosen.
CandidateState ToState(PlacementObstacle obstacle) {
  switch (obstacle) {
    case PlacementObstacle::kNone:
      return CandidateState::kDearer;
    case PlacementObstacle::kDraining:
      return CandidateState::kDraining;
    case PlacementObstacle::kLeaving:
      return CandidateState::kLeaving;
    case PlacementObstacle::kReplaced:
      return CandidateState::kReplaced;
    case PlacementObstacle::kHeldBack:
      return CandidateState::kHeldBack;
    case PlacementObstacle::kVersionNotAdmitted:
      return CandidateState::kVersionNotAdmitted;
    case PlacementObstacle::kTried:
    case PlacementObstacle::kTriedAndSuspect:
      return CandidateState::kTriedBefore;
    case PlacementObstacle::kSuspect:
      return CandidateState::kSuspect;
    case PlacementObstacle::kFull:
      return CandidateState::kFull;
    case PlacementObstacle::kRateLimited:
      return CandidateState::kRateLimited;
  }
  return CandidateState::kDearer;
}

bool CanGetIt(const CandidateExplanation& candidate) {
  return candidate.state == CandidateState::kDearer ||
         candidate.state == CandidateState::kChosenForTrial;
}

// Sorts the one chosen for a trial first, then those that can get the request
// by their cost, then those that have a cost.
void SortByChoice(std::vector<CandidateExplanation>& candidates) {
  const auto rank = [](const CandidateExplanation& it) {
    return std::tuple(it.state != CandidateState::kChosenForTrial,
                      !CanGetIt(it), it.cost.empty(), it.TotalCost());
  };
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [&rank](const auto& a, const auto& b) { return rank(a) < rank(b); });
}

}  // namespace

std::optional<MonotonicTime> Dispatcher::OldestReport() const {
  std::optional<MonotonicTime> oldest;
  for (const auto& [host, report] : peers_) {
    oldest = std::min(oldest.value_or(report.received_at), report.received_at);
  }
  return oldest;
}

PlacementExplanation Dispatcher::Explain(const WaitingRequest& request,
                                         MonotonicTime now) const {
  PlacementExplanation explanation;
  explanation.candidates = ExplainCandidates(request, now);
  // Without a queue, no request of the service has arrived yet.
  const ServiceQueue empty(options_.tokens_per_event, workspace_weights_);
  const auto queue = queues_.find(request.service);
  const AdmissionDecision decision =
      (queue == queues_.end() ? empty : queue->second).Decide(request, now);
  explanation.ahead = decision.ahead;
  if (explanation.Chosen() != nullptr) {
    return explanation;
  }
  explanation.expected_wait =
      duration_cast<milliseconds>(decision.expected_wait);
  if (!decision.is_admitted) {
    explanation.refusal = decision.reason;
    explanation.retry_after =
        std::max(ReturnSchedule::kMinDelay,
                 duration_cast<milliseconds>(decision.expected_wait_on_return));
  }
  return explanation;
}

CandidateState Dispatcher::StateOfEligible(const UpstreamView& upstream,
                                           MonotonicTime now) const {
  if (placement_.HasPlace(upstream, now)) {
    return CandidateState::kDearer;
  }
  if (!upstream.rate_limit().AdmitsRequest(now)) {
    return CandidateState::kRateLimited;
  }
  return upstream.HasPlace(now) ? CandidateState::kLeftToOthers
                                : CandidateState::kFull;
}

std::vector<CandidateExplanation> Dispatcher::ExplainCandidates(
    const WaitingRequest& request,
    MonotonicTime now) const {
  std::vector<CandidateExplanation> candidates;
  const auto service = by_service_.find(request.service);
  if (service == by_service_.end()) {
    return candidates;
  }
  const std::optional<std::string> trial = TrialUpstream(request, now);
  const std::vector<UpstreamView*> eligible = Eligible(request, now);
  const double mean_event_interval = MeanEventInterval(eligible);
  for (const UpstreamView* it : service->second) {
    CandidateExplanation candidate{
        .upstream = it->entry().id,
        .data_centre = it->entry().data_centre,
        .version = it->entry().version,
        .state = ToState(FindObstacle(*it, request, now)),
        .running = it->running(),
        .places = it->Limit(now)};
    if (std::find(eligible.begin(), eligible.end(), it) != eligible.end()) {
      candidate.cost =
          ToParts(placement_.Cost(*it, request, mean_event_interval, now));
      candidate.state = StateOfEligible(*it, now);
    }
    if (candidate.upstream == trial) {
      candidate.state = CandidateState::kChosenForTrial;
    }
    candidates.push_back(std::move(candidate));
  }
  SortByChoice(candidates);
  if (candidates.front().state == CandidateState::kDearer) {
    candidates.front().state = CandidateState::kChosen;
  }
  return candidates;
}

}  // namespace flamingogauge
