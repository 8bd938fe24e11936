#include "plugins/gateway/rollout_codec.h"

#include <algorithm>
#include <limits>

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

std::uint32_t ToMs(milliseconds time) {
  constexpr std::int64_t kMax = std::numeric_limits<std::uint32_t>::max() - 1;
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(time.count(), 0, kMax));
}

template <typename Enumeration>
Enumeration ReadEnumeration(std::uint8_t value, Enumeration last) {
  return value <= static_cast<std::uint8_t>(last)
             ? static_cast<Enumeration>(value)
             : Enumeration{};
}

void WriteState(const RolloutState& state, wire::Rollout::Builder to) {
  to.setService(state.service);
  to.setTarget(state.target);
  to.setOrder(state.order);
  to.setRevision(state.revision);
  to.setDurationMs(ToMs(state.duration));
  to.setAgeMs(ToMs(state.age));
  to.setPermissionAgeMs(state.permission_age ? ToMs(*state.permission_age) + 1
                                             : 0);
  unsigned n = 0;
  auto from = to.initFrom(static_cast<unsigned>(state.from.size()));
  for (const std::string& it : state.from) {
    from.set(n++, it);
  }
  to.setPhase(static_cast<std::uint8_t>(state.phase));
  to.setOutcome(static_cast<std::uint8_t>(state.outcome));
  to.setBad(state.is_bad);
  to.setReason(state.reason);
  to.setWithdrawn(state.is_withdrawn);
  to.setOldRunning(state.old_running);
  to.setHostsBehind(state.hosts_behind);
}

RolloutState ReadState(wire::Rollout::Reader from) {
  RolloutState state{
      .service = from.getService().cStr(),
      .target = from.getTarget().cStr(),
      .order = from.getOrder(),
      .revision = from.getRevision(),
      .duration = milliseconds(from.getDurationMs()),
      .age = milliseconds(from.getAgeMs()),
      .phase = ReadEnumeration(from.getPhase(), RolloutPhase::kComplete),
      .outcome =
          ReadEnumeration(from.getOutcome(), RolloutOutcome::kRolledBack),
      .is_bad = from.getBad(),
      .reason = from.getReason().cStr(),
      .is_withdrawn = from.getWithdrawn(),
      .old_running = from.getOldRunning(),
      .hosts_behind = from.getHostsBehind()};
  if (from.getPermissionAgeMs() > 0) {
    state.permission_age = milliseconds(from.getPermissionAgeMs() - 1);
  }
  for (const auto& it : from.getFrom()) {
    state.from.emplace_back(it.cStr());
  }
  return state;
}

void WriteCount(const EvidenceCount& count, wire::RolloutEvidence::Builder to) {
  to.setOrder(count.order);
  to.setRoute(count.route);
  to.setUpstream(count.upstream);
  to.setAnswers(count.answers);
  to.setFailures(count.failures);
  auto durations = to.initDurations(kDurationBins);
  for (unsigned n = 0; n < kDurationBins; ++n) {
    durations.set(n, count.durations[n]);
  }
}

EvidenceCount ReadCount(wire::RolloutEvidence::Reader from) {
  EvidenceCount count{.order = from.getOrder(),
                      .route = from.getRoute(),
                      .upstream = from.getUpstream(),
                      .answers = from.getAnswers(),
                      .failures = from.getFailures()};
  std::size_t n = 0;
  for (const std::uint32_t it : from.getDurations()) {
    if (n < kDurationBins) {
      count.durations[n++] = it;
    }
  }
  return count;
}

}  // namespace

void WriteRollouts(const RolloutReport& report,
                   wire::RolloutReport::Builder to) {
  unsigned n = 0;
  auto rollouts =
      to.initRollouts(static_cast<unsigned>(report.rollouts.size()));
  for (const RolloutState& it : report.rollouts) {
    WriteState(it, rollouts[n++]);
  }
  n = 0;
  auto evidence =
      to.initEvidence(static_cast<unsigned>(report.evidence.size()));
  for (const EvidenceCount& it : report.evidence) {
    WriteCount(it, evidence[n++]);
  }
}

RolloutReport ReadRollouts(wire::RolloutReport::Reader from) {
  RolloutReport report;
  for (const auto& it : from.getRollouts()) {
    report.rollouts.push_back(ReadState(it));
  }
  for (const auto& it : from.getEvidence()) {
    report.evidence.push_back(ReadCount(it));
  }
  return report;
}

}  // namespace flamingogauge
