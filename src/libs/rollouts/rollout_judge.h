#ifndef FLAMINGOGAUGE_LIBS_ROLLOUTS_ROLLOUT_JUDGE_H_
#define FLAMINGOGAUGE_LIBS_ROLLOUTS_ROLLOUT_JUDGE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "libs/rollouts/evidence_pool.h"

namespace flamingogauge {

// Why a version is bad, with the figures that were compared.
struct RolloutVerdict {
  std::string reason;
};

// Compares the upstreams of the target with those of the old versions: failures
// and slow answers, on each route and on all together. Returns a verdict if the
// target is bad, and nothing as long as there is too little evidence for one.
// Slow answers need less evidence if the target is about to get all requests.
std::optional<RolloutVerdict> FindFault(const EvidencePool::Counts& counts,
                                        bool trial_is_ending = false);

// True if the target looks worse than the old versions, though not so clearly
// that it is bad: on one route, or on all together, its bad answers exceed the
// expected number by this many standard deviations, and by one.
bool IsSuspicious(const EvidencePool::Counts& counts, double deviations);

// The number of answers of the target's upstreams, and of the old versions'.
std::uint64_t TargetAnswers(const EvidencePool::Counts& counts);
std::uint64_t OldAnswers(const EvidencePool::Counts& counts);

// True if the target has answered often enough to be trusted with all requests:
// in total, and on each route on which the old versions have.
bool HasEnoughAnswers(const EvidencePool::Counts& counts);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_ROLLOUTS_ROLLOUT_JUDGE_H_
