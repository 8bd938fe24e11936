#include "libs/crashes/suspect_tracker.h"

#include <algorithm>
#include <utility>

#include "libs/kernel/check.h"

namespace flamingogauge {

bool SuspectTracker::MayDispatch(const Fingerprint& fingerprint,
                                 const UpstreamId& upstream) const {
  if (running_.count(fingerprint) > 0) {
    return false;
  }
  const auto it = on_upstream_.find(upstream);
  if (!IsSuspect(fingerprint) || it == on_upstream_.end()) {
    return true;
  }
  return std::none_of(
      it->second.begin(), it->second.end(),
      [this](const Fingerprint& other) { return IsSuspect(other); });
}

void SuspectTracker::OnDispatched(const Fingerprint& fingerprint,
                                  const UpstreamId& upstream) {
  CHECK_INVARIANT(
      "C1", MayDispatch(fingerprint, upstream),
      "fingerprint " + ToString(fingerprint) + " is dispatched to " + upstream +
          " while another suspect runs there or while it already runs itself");
  running_[fingerprint] = upstream;
  on_upstream_[upstream].push_back(fingerprint);
}

void SuspectTracker::OnEnded(const Fingerprint& fingerprint,
                             const UpstreamId& upstream,
                             bool completed) {
  const auto running = running_.find(fingerprint);
  if (running == running_.end() || running->second != upstream) {
    return;
  }
  running_.erase(running);
  const auto it = on_upstream_.find(upstream);
  std::erase(it->second, fingerprint);
  if (it->second.empty()) {
    on_upstream_.erase(it);
  }
  if (completed) {
    suspects_.erase(fingerprint);
  }
}

std::vector<Fingerprint> SuspectTracker::OnCrashed(const UpstreamId& upstream,
                                                   MonotonicTime now) {
  const auto it = on_upstream_.find(upstream);
  if (it == on_upstream_.end()) {
    return {};
  }
  const std::vector<Fingerprint> in_flight = std::move(it->second);
  on_upstream_.erase(it);
  std::vector<Fingerprint> quarantined;
  for (const Fingerprint& fingerprint : in_flight) {
    running_.erase(fingerprint);
    if (suspects_.erase(fingerprint) > 0) {
      quarantined.push_back(fingerprint);
    } else {
      AddSuspect(fingerprint, now);
    }
  }
  CHECK_INVARIANT("C2", quarantined.size() <= 1,
                  "suspects " + ToString(quarantined.front()) + " and " +
                      ToString(quarantined.back()) +
                      " ran at the same time on upstream " + upstream);
  return quarantined;
}

void SuspectTracker::AddSuspect(const Fingerprint& fingerprint,
                                MonotonicTime now) {
  std::erase_if(suspects_, [this, now](const auto& suspect) {
    return now - suspect.second > options_.retention;
  });
  if (suspects_.size() >= options_.max_suspects) {
    suspects_.erase(std::min_element(
        suspects_.begin(), suspects_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
  suspects_.emplace(fingerprint, now);
}

}  // namespace flamingogauge
