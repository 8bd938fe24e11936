#include "libs/scheduling/group_policies.h"

#include <algorithm>

namespace flamingogauge {
namespace {

// The target of 59 ms between tokens (design section 1.7).
constexpr double kTokenGapTarget = 0.059;

// One part in this many of a batch is reserved for short requests.
constexpr double kReservedPart = 8;

// The part of the token memory that may be planned, for long requests and for
// all; the rest absorbs answers longer than expected.
constexpr double kLongTokenPart = 0.92;
constexpr double kTokenPart = 1.0;

// The part of its own decoding time that counts against an upstream. Decoding
// is shared by the batch, while prefill holds up all of it.
constexpr double kDecodeShare = 0.2;

// A long prompt is not added behind more than this prefill, so that short
// prompts that arrive next do not wait for several long ones.
constexpr double kLongPrefillBacklog = 0.15;

double BatchLimit(const Candidate& candidate) {
  const double limit =
      std::min(static_cast<double>(candidate.upstream->config.max_concurrency),
               candidate.rates->BatchWithin(kTokenGapTarget));
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

bool ConcurrencyAdmission::HasRoom(const Candidate& candidate,
                                   const QueuedRequest&,
                                   Room) const {
  return candidate.upstream->in_flight() <
         candidate.upstream->config.max_concurrency;
}

bool BudgetAdmission::HasRoom(const Candidate& candidate,
                              const QueuedRequest& request,
                              Room room) const {
  const UpstreamState& upstream = *candidate.upstream;
  const double limit = BatchLimit(candidate);
  const double running = upstream.Running();
  if (running + 1 > limit) {
    return false;
  }
  const double reserved = limit < 2 ? 0 : std::max(1.0, limit / kReservedPart);
  if (room == Room::kReservedOnly && upstream.ShortInFlight() + 1 > reserved) {
    return false;
  }
  if (request.is_long) {
    if (upstream.long_in_flight() + 1 > limit - reserved ||
        candidate.prefill_backlog > kLongPrefillBacklog) {
      return false;
    }
  }
  const auto capacity = static_cast<double>(upstream.Capacity());
  if (capacity == 0 || running == 0) {
    return true;
  }
  const double part = request.is_long ? kLongTokenPart : kTokenPart;
  return static_cast<double>(upstream.Tokens() + request.Tokens()) <=
         part * capacity;
}

bool BudgetAdmission::IsInTime(double total, double time_left) const {
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
    return goodput_weight_ * (it.prefill_backlog + kDecodeShare * it.decode) +
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
          .lengths = std::make_unique<LearntLengths>(),
          .shed = std::make_unique<ExpectedWaitShed>()};
}

GroupPolicies RoundRobinPolicies() {
  return {.order = std::make_unique<FifoOrder>(),
          .admission = std::make_unique<ConcurrencyAdmission>(),
          .placement = std::make_unique<RoundRobinPlacement>(),
          .lengths = std::make_unique<LimitLengths>(),
          .shed = std::make_unique<NeverShed>()};
}

GroupPolicies LeastOutstandingPolicies() {
  GroupPolicies policies = RoundRobinPolicies();
  policies.placement = std::make_unique<LeastOutstandingPlacement>();
  return policies;
}

}  // namespace flamingogauge
