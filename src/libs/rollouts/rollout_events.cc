#include "libs/rollouts/rollout_events.h"

#include <utility>

namespace flamingogauge {
namespace {

std::string PhaseName(RolloutPhase phase) {
  switch (phase) {
    case RolloutPhase::kTrial:
      return "trial";
    case RolloutPhase::kShift:
      return "shift";
    case RolloutPhase::kComplete:
      return "complete";
  }
  return "";
}

std::string EndName(RolloutOutcome outcome) {
  if (!IsFinal(outcome)) {
    return "withdrawn";
  }
  return outcome == RolloutOutcome::kCompleted ? "completed" : "rolled back";
}

std::string Join(const std::set<std::string>& versions) {
  std::string text;
  for (const std::string& it : versions) {
    text += (text.empty() ? "" : ",") + it;
  }
  return text;
}

}  // namespace

std::vector<RolloutEvent> EventsBetween(const RolloutRecord* before,
                                        const RolloutRecord& after,
                                        MonotonicTime now) {
  using Kind = RolloutEvent::Kind;
  std::vector<RolloutEvent> events;
  const auto add = [&events, &after, now](Kind kind, std::string detail) {
    events.push_back(
        {.kind = kind,
         .service = after.service,
         .target = after.target,
         .detail = std::move(detail),
         .age = std::chrono::duration_cast<std::chrono::milliseconds>(
             now - after.began_at)});
  };
  const RolloutRecord known = before != nullptr ? *before : RolloutRecord{};
  if (before == nullptr) {
    add(Kind::kBegan, "from " + Join(after.from));
  }
  if (after.phase != known.phase) {
    add(Kind::kStep, PhaseName(after.phase));
  }
  if (after.is_bad && !known.is_bad) {
    add(Kind::kVerdict, after.reason);
  }
  if (after.HasEnded() && !known.HasEnded()) {
    add(Kind::kEnded, EndName(after.outcome));
  }
  return events;
}

}  // namespace flamingogauge
