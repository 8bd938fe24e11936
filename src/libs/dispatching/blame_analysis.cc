#include "libs/dispatching/blame_analysis.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace flamingogauge {
namespace {

SuspectKey RequestKey(std::uint64_t request) {
  return {.kind = SuspectKey::Kind::kRequest, .id = request};
}

// True if a lost request has one of the prompt parts, or is one of the
// requests. The requests explain nothing of a loss of `request` itself, as its
// parts may be to blame as well.
bool IsExplained(const UpstreamCrash& crash,
                 std::uint64_t request,
                 const std::set<SuspectKey>& explaining) {
  for (const LostRequest& lost : crash.lost) {
    if (lost.keys.request != request &&
        explaining.contains(RequestKey(lost.keys.request))) {
      return true;
    }
    for (const std::uint64_t it : lost.keys.prompt_parts) {
      if (explaining.contains(
              {.kind = SuspectKey::Kind::kPromptPart, .id = it})) {
        return true;
      }
    }
  }
  return false;
}

}  // namespace

bool BlameAnalysis::Case::IsProven() const {
  const int crashes = static_cast<int>(charges.size());
  if (key.kind == SuspectKey::Kind::kRequest) {
    return crashes >= kRequestThreshold;
  }
  std::map<std::uint64_t, int> by_request;
  int most_by_one_request = 0;
  for (const Charge& it : charges) {
    most_by_one_request =
        std::max(most_by_one_request, ++by_request[it.request]);
  }
  return crashes >= (was_sound ? kSoundPartThreshold : kPartThreshold) &&
         crashes - most_by_one_request >= kMinCrashesByOthers;
}

bool BlameAnalysis::Case::IsPreferredTo(const Case& other) const {
  const auto rank = [](const Case& it) {
    return std::tuple(it.charges.size(),
                      it.key.kind == SuspectKey::Kind::kRequest, !it.was_sound,
                      it.position);
  };
  return rank(*this) > rank(other);
}

BlameAnalysis::BlameAnalysis(const CrashRecords& records,
                             const SoundKeys& sound,
                             MonotonicTime now)
    : records_(records), sound_(sound), now_(now), cases_(CollectCases()) {}

bool BlameAnalysis::IsProven(const SuspectKey& key, MonotonicTime until) const {
  const auto found = cases_.find(key);
  if (found == cases_.end()) {
    return false;
  }
  Case it = found->second;
  std::erase_if(it.charges, [until](const Charge& charge) {
    return charge.crash->at > until;
  });
  return it.IsProven();
}

std::vector<BlameAnalysis::Proof> BlameAnalysis::Explain(
    std::set<SuspectKey>& explaining) const {
  std::vector<Case> open = ProvenCases();
  std::vector<Proof> proofs;
  while (true) {
    std::erase_if(open, [&explaining](Case& it) {
      std::erase_if(it.charges, [&](const Charge& charge) {
        return IsExplained(*charge.crash, charge.request, explaining);
      });
      return explaining.contains(it.key) || !it.IsProven();
    });
    const auto worst = std::max_element(
        open.begin(), open.end(),
        [](const Case& a, const Case& b) { return b.IsPreferredTo(a); });
    if (worst == open.end()) {
      return proofs;
    }
    proofs.push_back({.key = worst->key,
                      .crashes = static_cast<int>(worst->charges.size())});
    explaining.insert(worst->key);
  }
}

std::vector<BlameAnalysis::Case> BlameAnalysis::ProvenCases() const {
  std::vector<Case> proven;
  for (const auto& [key, it] : cases_) {
    if (it.IsProven()) {
      proven.push_back(it);
    }
  }
  return proven;
}

MonotonicTime BlameAnalysis::NextChange() const {
  MonotonicTime next = MonotonicTime::max();
  for (const auto& [upstream, crashes] : records_.by_upstream()) {
    for (const UpstreamCrash& it : crashes) {
      if (it.at + kSettleTime > now_) {
        next = std::min<MonotonicTime>(next, it.at + kSettleTime);
      }
    }
  }
  return next;
}

BlameAnalysis::Cases BlameAnalysis::CollectCases() const {
  Cases cases;
  for (const auto& [upstream, crashes] : records_.by_upstream()) {
    for (const UpstreamCrash& it : crashes) {
      AddCrash(it, cases);
    }
  }
  return cases;
}

void BlameAnalysis::AddCrash(const UpstreamCrash& crash, Cases& cases) const {
  const bool counts_against_parts = now_ - crash.at >= kSettleTime;
  for (const LostRequest& it : crash.lost) {
    const std::vector<SuspectKey> keys = AllKeys(it.keys);
    const std::size_t count = counts_against_parts ? keys.size() : 1;
    for (std::size_t n = 0; n < count; ++n) {
      AddToCase(keys[n], n, {.crash = &crash, .request = it.keys.request},
                cases);
    }
  }
}

void BlameAnalysis::AddToCase(const SuspectKey& key,
                              std::size_t position,
                              const Charge& charge,
                              Cases& cases) const {
  const std::optional<MonotonicTime> sound_at = sound_.Find(key);
  if (sound_at && *sound_at >= charge.crash->at) {
    return;
  }
  Case& found = cases[key];
  found.key = key;
  found.position = std::max(found.position, position);
  found.was_sound = sound_at.has_value();
  // A key that several of the lost requests share is counted once.
  if (found.charges.empty() || found.charges.back().crash != charge.crash) {
    found.charges.push_back(charge);
  }
}

}  // namespace flamingogauge
