#include "libs/dispatching/placement_explanation.h"

namespace flamingogauge {

const char* ToString(CandidateState state) {
  switch (state) {
    case CandidateState::kChosen:
      return "chosen";
    case CandidateState::kDearer:
      return "dearer";
    case CandidateState::kChosenForTrial:
      return "chosen for trial";
    case CandidateState::kFull:
      return "full";
    case CandidateState::kLeftToOthers:
      return "left to others";
    case CandidateState::kRateLimited:
      return "rate limited";
    case CandidateState::kSuspect:
      return "suspect";
    case CandidateState::kTriedBefore:
      return "tried before";
    case CandidateState::kHeldBack:
      return "held back";
    case CandidateState::kDraining:
      return "draining";
    case CandidateState::kLeaving:
      return "leaving";
    case CandidateState::kReplaced:
      return "replaced";
    case CandidateState::kVersionNotAdmitted:
      return "version not admitted";
  }
  return "";
}

double CandidateExplanation::TotalCost() const {
  double total = 0;
  for (const CostPart& it : cost) {
    total += it.seconds;
  }
  return total;
}

const CandidateExplanation* PlacementExplanation::Chosen() const {
  if (candidates.empty()) {
    return nullptr;
  }
  const CandidateExplanation& first = candidates.front();
  const bool is_chosen = first.state == CandidateState::kChosen ||
                         first.state == CandidateState::kChosenForTrial;
  return is_chosen ? &first : nullptr;
}

}  // namespace flamingogauge
