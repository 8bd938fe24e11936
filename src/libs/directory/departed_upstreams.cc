#include "libs/directory/departed_upstreams.h"

#include <utility>

namespace flamingogauge {
namespace {

using std::chrono::seconds;

// A copy of the store is some seconds old, so that it lists nothing that left
// long before.
constexpr seconds kMemory{120};
// Longer than the entry of an upstream that does not run stays in the store:
// three intervals of its heartbeats, and some time for the answer.
constexpr seconds kLapseTime{6};

}  // namespace

void DepartedUpstreams::OnChange(const std::string& id,
                                 const UpstreamEntry* before,
                                 const UpstreamEntry* after,
                                 const StoreRevision& revision,
                                 MonotonicTime now) {
  if (after == nullptr) {
    withheld_.erase(id);
  }
  const bool has_left =
      before != nullptr &&
      (after == nullptr || (after->draining && !before->draining));
  if (!has_left) {
    return;
  }
  ForgetOld(now);
  // One that drains and is removed then has left for good.
  const auto known = departures_.find(id);
  const bool has_drained =
      before->draining ||
      (known != departures_.end() && !known->second.was_removed &&
       known->second.started_at_ms == before->started_at_ms);
  departures_[id] = {.started_at_ms = before->started_at_ms,
                     .era = revision.era,
                     .was_removed = after == nullptr && !has_drained,
                     .at = now};
}

DepartedUpstreams::Entries DepartedUpstreams::Withhold(
    const Entries& entries,
    const StoreRevision& revision,
    MonotonicTime now) {
  if (revision.era > era_) {
    era_ = revision.era;
    era_seen_at_ = now;
  }
  Entries withheld;
  for (auto it = departures_.begin(); it != departures_.end();) {
    const auto& [id, departure] = *it;
    const auto listed = entries.find(id);
    if (listed == entries.end() || listed->second->draining) {
      ++it;
      continue;
    }
    const bool is_same_process =
        listed->second->started_at_ms == departure.started_at_ms;
    if (!is_same_process || departure.era >= revision.era ||
        !IsInDoubt(departure, now)) {
      withheld_.erase(id);
      it = departures_.erase(it);
      continue;
    }
    withheld_[id] = listed->second;
    UpstreamEntry draining = *listed->second;
    draining.draining = true;
    withheld[id] = std::make_shared<const UpstreamEntry>(std::move(draining));
    ++it;
  }
  return withheld;
}

DepartedUpstreams::Entries DepartedUpstreams::TakeBelieved(MonotonicTime now) {
  Entries believed;
  for (auto it = withheld_.begin(); it != withheld_.end();) {
    const auto departure = departures_.find(it->first);
    if (departure != departures_.end() && IsInDoubt(departure->second, now)) {
      ++it;
      continue;
    }
    if (departure != departures_.end()) {
      departures_.erase(departure);
    }
    believed.insert(*it);
    it = withheld_.erase(it);
  }
  return believed;
}

bool DepartedUpstreams::IsInDoubt(const Departure& departure,
                                  MonotonicTime now) const {
  return !departure.was_removed || now - era_seen_at_ < kLapseTime;
}

void DepartedUpstreams::ForgetOld(MonotonicTime now) {
  std::erase_if(departures_, [this, now](const auto& it) {
    return now - it.second.at > kMemory && !withheld_.contains(it.first);
  });
}

}  // namespace flamingogauge
