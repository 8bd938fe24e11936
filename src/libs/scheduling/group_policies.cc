#include "libs/scheduling/group_policies.h"

#include <algorithm>

namespace flamingogauge {
namespace {

// Target of 59 ms between tokens (design section 1.7).
constexpr double kTokenGapTargetSeconds = 0.059;

// The batch limit divided by this number is reserved for short requests.
constexpr double kReservedDivisor = 8;

// Fractions of the token memory up to which long and other requests are
// admitted. The remainder is a reserve for outputs that are longer than
// expected.
constexpr double kLongTokenFraction = 0.92;
constexpr double kTokenFraction = 1.0;

// Fraction of the decoding time that enters the score of an upstream. Decoding
// steps are shared by the batch, while prefill delays the whole batch.
constexpr double kDecodeFraction = 0.2;

// Maximum prefill backlog, in seconds, at which a long request is admitted, so
// that short prompts that arrive later do not wait for several long ones.
constexpr double kMaxLongPrefillBacklogSeconds = 0.15;

double BatchLimit(const Candidate& candidate) {
  const double limit =
      std::min(static_cast<double>(candidate.upstream->config.max_concurrency),
               candidate.rates->BatchWithin(kTokenGapTargetSeconds));
  switch (candidate.straggler) {
    case StragglerState::kNormal:
      return limit;
    case StragglerState::kReduced:
      return std::max(1.0, limit / 2);
    case StragglerState::kTrial:
      return 1;
    case StragglerState::kStopped:
      return 0;
  }
  return limit;
}

}  // namespace

bool ConcurrencyAdmission::CanAdmit(const Candidate& candidate,
                                    const QueuedRequest&,
                                    AdmissionScope) const {
  return candidate.upstream->in_flight() <
         candidate.upstream->config.max_concurrency;
}

bool BudgetAdmission::CanAdmit(const Candidate& candidate,
                               const QueuedRequest& request,
                               AdmissionScope scope) const {
  const UpstreamState& upstream = *candidate.upstream;
  const double limit = BatchLimit(candidate);
  const double running = upstream.Running();
  if (running + 1 > limit) {
    return false;
  }
  const double reserved =
      limit < 2 ? 0 : std::max(1.0, limit / kReservedDivisor);
  if (scope == AdmissionScope::kReservedOnly &&
      upstream.ShortInFlight() + 1 > reserved) {
    return false;
  }
  if (request.is_long) {
    if (upstream.long_in_flight() + 1 > limit - reserved ||
        candidate.prefill_backlog > kMaxLongPrefillBacklogSeconds) {
      return false;
    }
  }
  const auto capacity = static_cast<double>(upstream.Capacity());
  if (capacity == 0 || running == 0) {
    return true;
  }
  const double fraction = request.is_long ? kLongTokenFraction : kTokenFraction;
  return static_cast<double>(upstream.Tokens() + request.Tokens()) <=
         fraction * capacity;
}

bool BudgetAdmission::MeetsDeadline(double total, double time_left) const {
  return total <= time_left;
}

std::size_t RoundRobinPlacement::Choose(
    const std::vector<Candidate>& candidates) {
  std::size_t chosen = 0;
  for (std::size_t it = 0; it < candidates.size(); ++it) {
    if (candidates[it].slot > last_slot_) {
      chosen = it;
      break;
    }
  }
  last_slot_ = candidates[chosen].slot;
  return chosen;
}

std::size_t LeastOutstandingPlacement::Choose(
    const std::vector<Candidate>& candidates) {
  const auto least = std::min_element(
      candidates.begin(), candidates.end(),
      [](const Candidate& a, const Candidate& b) {
        return a.upstream->in_flight() < b.upstream->in_flight();
      });
  return static_cast<std::size_t>(least - candidates.begin());
}

std::size_t ScorePlacement::Choose(const std::vector<Candidate>& candidates) {
  const auto score = [this](const Candidate& it) {
    return goodput_weight_ *
               (it.prefill_backlog + kDecodeFraction * it.decode) +
           (goodput_weight_ + wasted_prefill_weight_) * it.prefill;
  };
  const auto best =
      std::min_element(candidates.begin(), candidates.end(),
                       [&score](const Candidate& a, const Candidate& b) {
                         return score(a) < score(b);
                       });
  return static_cast<std::size_t>(best - candidates.begin());
}

GroupPolicies DefaultPolicies(const GroupConfig& config) {
  return {.order = std::make_unique<TieredOrder>(),
          .admission = std::make_unique<BudgetAdmission>(),
          .placement = std::make_unique<ScorePlacement>(
              config.goodput_weight, config.wasted_prefill_weight),
          .lengths = std::make_unique<LearnedLengthEstimator>(),
          .shed = std::make_unique<ExpectedWaitShed>()};
}

GroupPolicies RoundRobinPolicies() {
  return {.order = std::make_unique<FifoOrder>(),
          .admission = std::make_unique<ConcurrencyAdmission>(),
          .placement = std::make_unique<RoundRobinPlacement>(),
          .lengths = std::make_unique<LimitLengthEstimator>(),
          .shed = std::make_unique<NeverShed>()};
}

GroupPolicies LeastOutstandingPolicies() {
  GroupPolicies policies = RoundRobinPolicies();
  policies.placement = std::make_unique<LeastOutstandingPlacement>();
  return policies;
}

}  // namespace flamingogauge
