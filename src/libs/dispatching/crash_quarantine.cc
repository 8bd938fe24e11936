#include "libs/dispatching/crash_quarantine.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace flamingogauge {
namespace {

using std::chrono::duration_cast;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kRetention{60};
// Reports of one crash by several hosts differ by less than this. A crashed
// upstream takes longer to return.
constexpr milliseconds kSameCrash{1500};
// News is included in the reports of this period, some of which may be lost.
constexpr seconds kReportPeriod{5};
// A key that is in use is sound again and again; it is reported at this
// interval.
constexpr milliseconds kSoundInterval{300};
// A crash counts against prompt parts after this time, in which other hosts
// report what they lost in it, and responses show which parts are sound.
constexpr milliseconds kSettleTime{600};
constexpr seconds kFirstQuarantine{60};
constexpr hours kMaxQuarantine{1};
constexpr std::size_t kMaxLostRequests = 512;
constexpr std::size_t kMaxQuarantined = 256;
// Bound the size of messages.
constexpr std::size_t kMaxReportedCrashes = 64;
constexpr std::size_t kMaxReportedSound = 64;
constexpr std::size_t kMaxReportedQuarantined = 32;
// Crashes that have to be left for a prompt part if those of the request that
// was lost most often are not counted.
constexpr int kMinCrashesByOthers = 2;

milliseconds Age(MonotonicTime time, MonotonicTime now) {
  return duration_cast<milliseconds>(now - time);
}

SuspectKey RequestKey(std::uint64_t request) {
  return {.kind = SuspectKey::Kind::kRequest, .id = request};
}

SuspectKey PartKey(std::uint64_t part) {
  return {.kind = SuspectKey::Kind::kPromptPart, .id = part};
}

// Calls `visit` with each key of the request and the key's position.
template <typename Visitor>
void ForEachKey(const RequestKeys& keys, Visitor visit) {
  visit(RequestKey(keys.request), 0);
  for (std::size_t n = 0; n < keys.prompt_parts.size(); ++n) {
    visit(PartKey(keys.prompt_parts[n]), n);
  }
}

bool HasKey(const RequestKeys& keys, const SuspectKey& key) {
  if (key.kind == SuspectKey::Kind::kRequest) {
    return keys.request == key.id;
  }
  return std::find(keys.prompt_parts.begin(), keys.prompt_parts.end(),
                   key.id) != keys.prompt_parts.end();
}

}  // namespace

MonotonicTime CrashQuarantine::Quarantine::EndsAt() const {
  constexpr int kMaxDoublings = 6;
  const Duration doubled =
      kFirstQuarantine * (1 << std::min(strikes - 1, kMaxDoublings));
  return began_at + std::min<Duration>(doubled, kMaxQuarantine);
}

MonotonicTime CrashQuarantine::Quarantine::ProbationEndsAt() const {
  return EndsAt() + (EndsAt() - began_at);
}

bool CrashQuarantine::Case::IsProven(SuspectKey::Kind kind) const {
  if (kind == SuspectKey::Kind::kRequest) {
    return crashes >= kRequestThreshold;
  }
  int most_by_one_request = 0;
  for (const auto& [request, count] : crashes_by_request) {
    most_by_one_request = std::max(most_by_one_request, count);
  }
  return crashes >= (was_sound ? kSoundPartThreshold : kPartThreshold) &&
         crashes - most_by_one_request >= kMinCrashesByOthers;
}

void CrashQuarantine::OnCrash(std::uint64_t upstream,
                              RequestKeys keys,
                              MonotonicTime lost_at,
                              MonotonicTime now) {
  if (keys.prompt_parts.size() > kMaxPromptParts) {
    keys.prompt_parts.resize(kMaxPromptParts);
  }
  if (AddCrash(upstream, keys, lost_at, now)) {
    Evaluate(now);
  }
}

void CrashQuarantine::OnSound(const RequestKeys& keys,
                              MonotonicTime began_at,
                              MonotonicTime now) {
  ForEachKey(keys, [&](const SuspectKey& key, std::size_t /*position*/) {
    // A request is seldom repeated, so that only suspects are recorded.
    if (key.kind == SuspectKey::Kind::kPromptPart || suspects_.contains(key) ||
        quarantined_.contains(key)) {
      AddSound(key, began_at, now);
    }
  });
}

void CrashQuarantine::Merge(const CrashEvidence& evidence, MonotonicTime now) {
  for (const SoundKey& it : evidence.sound) {
    AddSound(it.key, now - it.age, now);
  }
  for (const QuarantinedKey& it : evidence.quarantined) {
    AddQuarantine(it, now);
  }
  bool is_new = false;
  for (const CrashRecord& it : evidence.crashes) {
    is_new = AddCrash(it.upstream, it.keys, now - it.age, now) || is_new;
  }
  if (is_new) {
    Evaluate(now);
  }
}

bool CrashQuarantine::AddCrash(std::uint64_t upstream,
                               const RequestKeys& keys,
                               MonotonicTime at,
                               MonotonicTime now) {
  if (now - at > kRetention) {
    return false;
  }
  Crash& crash = FindOrAddCrash(upstream, at);
  for (const LostRequest& it : crash.lost) {
    if (it.keys.request == keys.request) {
      return false;
    }
  }
  crash.lost.push_back({.keys = keys, .learned_at = now});
  ++lost_count_;
  ForEachKey(keys, [&](const SuspectKey& key, std::size_t /*position*/) {
    suspects_.insert(key);
    if (const auto sound_at = sound_.Find(key)) {
      sound_news_.try_emplace(
          key, SoundNews{.sound_at = *sound_at, .learned_at = now});
    }
  });
  if (lost_count_ > kMaxLostRequests) {
    RemoveOldestCrash();
  }
  return true;
}

CrashQuarantine::Crash& CrashQuarantine::FindOrAddCrash(std::uint64_t upstream,
                                                        MonotonicTime at) {
  std::vector<Crash>& crashes = crashes_[upstream];
  for (Crash& it : crashes) {
    if (at - it.at < kSameCrash && it.at - at < kSameCrash) {
      return it;
    }
  }
  crashes.push_back({.at = at, .lost = {}});
  return crashes.back();
}

bool CrashQuarantine::AddSound(const SuspectKey& key,
                               MonotonicTime sound_at,
                               MonotonicTime now) {
  if (!sound_.Record(key, sound_at)) {
    return false;
  }
  const bool is_quarantined = quarantined_.contains(key);
  if (is_quarantined) {
    ReleaseIfSound(key, now);
  }
  if (!is_quarantined && !suspects_.contains(key)) {
    return true;
  }
  const auto [it, inserted] = sound_news_.try_emplace(
      key, SoundNews{.sound_at = sound_at, .learned_at = now});
  if (!inserted && sound_at - it->second.sound_at >= kSoundInterval) {
    it->second = {.sound_at = sound_at, .learned_at = now};
  }
  return true;
}

bool CrashQuarantine::AddQuarantine(const QuarantinedKey& entry,
                                    MonotonicTime now) {
  const Quarantine added{.began_at = now - entry.age, .strikes = entry.strikes};
  const auto sound_at = sound_.Find(entry.key);
  if (now >= added.EndsAt() || (sound_at && *sound_at > added.began_at)) {
    return false;
  }
  const auto known = quarantined_.find(entry.key);
  if (known == quarantined_.end()) {
    if (quarantined_.size() >= kMaxQuarantined) {
      return false;
    }
    quarantined_.emplace(entry.key, added);
    changes_.push_back({.entry = entry});
    return true;
  }
  if (now >= known->second.EndsAt()) {
    known->second = added;
    changes_.push_back({.entry = entry});
    return true;
  }
  // Of two hosts' decisions the earlier one counts, so that a decision that is
  // passed on does not last longer with each message.
  if (added.strikes > known->second.strikes ||
      (added.strikes == known->second.strikes &&
       added.began_at < known->second.began_at)) {
    known->second = added;
    return true;
  }
  return false;
}

void CrashQuarantine::ReleaseIfSound(const SuspectKey& key, MonotonicTime now) {
  const auto it = quarantined_.find(key);
  const auto sound_at = sound_.Find(key);
  if (it == quarantined_.end() || !sound_at ||
      *sound_at <= LastCrash(key).value_or(it->second.began_at)) {
    return;
  }
  changes_.push_back({.entry = {.key = key,
                                .age = Age(it->second.began_at, now),
                                .strikes = it->second.strikes},
                      .began = false});
  quarantined_.erase(it);
}

std::optional<MonotonicTime> CrashQuarantine::LastCrash(
    const SuspectKey& key) const {
  std::optional<MonotonicTime> last;
  for (const auto& [upstream, crashes] : crashes_) {
    for (const Crash& crash : crashes) {
      for (const LostRequest& it : crash.lost) {
        if (HasKey(it.keys, key) && (!last || *last < crash.at)) {
          last = crash.at;
        }
      }
    }
  }
  return last;
}

void CrashQuarantine::Evaluate(MonotonicTime now) {
  RemoveExpired(now);
  RenewQuarantines(now);
  // What other hosts decided on crashes that this host does not know stands.
  std::set<SuspectKey> explaining;
  const Cases all = CollectCases({}, now);
  for (const auto& [key, it] : quarantined_) {
    const auto found = all.find(key);
    if (found == all.end() || !found->second.IsProven(key.kind)) {
      explaining.insert(key);
    }
  }
  while (const auto worst = FindWorst(CollectCases(explaining, now))) {
    explaining.insert(worst->key);
    if (!quarantined_.contains(worst->key) &&
        quarantined_.size() < kMaxQuarantined) {
      Begin(worst->key, 1, worst->crashes, now);
    }
  }
  ReleaseExplained(explaining, now);
  ScheduleEvaluation(now);
}

void CrashQuarantine::ScheduleEvaluation(MonotonicTime now) {
  next_evaluation_ = MonotonicTime::max();
  for (const auto& [upstream, crashes] : crashes_) {
    for (const Crash& it : crashes) {
      if (it.at + kSettleTime > now) {
        next_evaluation_ = std::min(next_evaluation_, it.at + kSettleTime);
      }
    }
  }
}

void CrashQuarantine::EvaluateIfDue(MonotonicTime now) {
  if (now >= next_evaluation_) {
    Evaluate(now);
  }
}

std::optional<CrashQuarantine::Proof> CrashQuarantine::FindWorst(
    const Cases& cases) {
  // Most crashes first; then the request rather than a part of its prompt, a
  // part that was never sound, and the part that fewer requests share because
  // it comes later.
  const auto rank = [](const Cases::value_type& it) {
    return std::tuple(it.second.crashes,
                      it.first.kind == SuspectKey::Kind::kRequest,
                      !it.second.was_sound, it.second.position);
  };
  const Cases::value_type* worst = nullptr;
  for (const Cases::value_type& it : cases) {
    if (it.second.IsProven(it.first.kind) &&
        (worst == nullptr || rank(it) > rank(*worst))) {
      worst = &it;
    }
  }
  if (worst == nullptr) {
    return std::nullopt;
  }
  return Proof{.key = worst->first, .crashes = worst->second.crashes};
}

// A host knows its own lost requests first, and may blame one that was lost
// beside the request that is to blame.
void CrashQuarantine::ReleaseExplained(const std::set<SuspectKey>& explaining,
                                       MonotonicTime now) {
  std::vector<SuspectKey> released;
  for (const auto& [key, it] : quarantined_) {
    if (!explaining.contains(key)) {
      released.push_back(key);
    }
  }
  for (const SuspectKey& it : released) {
    AddSound(it, now, now);
  }
}

void CrashQuarantine::RenewQuarantines(MonotonicTime now) {
  std::vector<std::pair<SuspectKey, int>> renewed;
  for (const auto& [key, it] : quarantined_) {
    const auto last_crash = LastCrash(key);
    if (now >= it.EndsAt() && last_crash && *last_crash >= it.EndsAt()) {
      renewed.emplace_back(key, it.strikes + 1);
    }
  }
  for (const auto& [key, strikes] : renewed) {
    Begin(key, strikes, 1, now);
  }
}

CrashQuarantine::Cases CrashQuarantine::CollectCases(
    const std::set<SuspectKey>& explaining,
    MonotonicTime now) const {
  Cases cases;
  for (const auto& [upstream, crashes] : crashes_) {
    for (const Crash& it : crashes) {
      if (!IsExplainedByPart(it, explaining)) {
        AddToCases(it, explaining, now, cases);
      }
    }
  }
  return cases;
}

void CrashQuarantine::AddToCases(const Crash& crash,
                                 const std::set<SuspectKey>& explaining,
                                 MonotonicTime now,
                                 Cases& cases) const {
  const bool is_settled = now - crash.at >= kSettleTime;
  // A key that several of the lost requests share is counted once.
  std::set<SuspectKey> counted;
  for (const LostRequest& it : crash.lost) {
    if (IsExplainedByOther(crash, it.keys.request, explaining)) {
      continue;
    }
    ForEachKey(it.keys, [&](const SuspectKey& key, std::size_t position) {
      const bool counts = is_settled || key.kind == SuspectKey::Kind::kRequest;
      if (counts && !explaining.contains(key) && counted.insert(key).second) {
        AddToCase(key, position, it.keys.request, crash, cases);
      }
    });
  }
}

void CrashQuarantine::AddToCase(const SuspectKey& key,
                                std::size_t position,
                                std::uint64_t request,
                                const Crash& crash,
                                Cases& cases) const {
  const auto sound_at = sound_.Find(key);
  if (sound_at && *sound_at >= crash.at) {
    return;
  }
  Case& found = cases[key];
  ++found.crashes;
  ++found.crashes_by_request[request];
  found.position = std::max(found.position, position);
  found.was_sound = sound_at.has_value();
}

bool CrashQuarantine::IsExplainedByPart(
    const Crash& crash,
    const std::set<SuspectKey>& explaining) {
  if (explaining.empty()) {
    return false;
  }
  for (const LostRequest& it : crash.lost) {
    for (const std::uint64_t part : it.keys.prompt_parts) {
      if (explaining.contains(PartKey(part))) {
        return true;
      }
    }
  }
  return false;
}

bool CrashQuarantine::IsExplainedByOther(
    const Crash& crash,
    std::uint64_t request,
    const std::set<SuspectKey>& explaining) {
  return std::any_of(crash.lost.begin(), crash.lost.end(),
                     [&](const LostRequest& it) {
                       return it.keys.request != request &&
                              explaining.contains(RequestKey(it.keys.request));
                     });
}

void CrashQuarantine::Begin(const SuspectKey& key,
                            int strikes,
                            int crashes,
                            MonotonicTime now) {
  quarantined_[key] = {.began_at = now, .strikes = strikes};
  changes_.push_back(
      {.entry = {.key = key, .strikes = strikes}, .crashes = crashes});
}

std::optional<CrashQuarantine::Refusal> CrashQuarantine::FindQuarantined(
    const RequestKeys& keys,
    MonotonicTime now) {
  EvaluateIfDue(now);
  std::optional<Refusal> found;
  if (quarantined_.empty()) {
    return found;
  }
  ForEachKey(keys, [&](const SuspectKey& key, std::size_t /*position*/) {
    const auto it = quarantined_.find(key);
    if (!found && it != quarantined_.end() && now < it->second.EndsAt()) {
      found = Refusal{
          .key = key,
          .time_left = duration_cast<milliseconds>(it->second.EndsAt() - now)};
    }
  });
  return found;
}

bool CrashQuarantine::IsSuspect(std::uint64_t request) const {
  return suspects_.contains(RequestKey(request));
}

CrashEvidence CrashQuarantine::Report(MonotonicTime now) {
  RemoveExpired(now);
  EvaluateIfDue(now);
  CrashEvidence report;
  std::vector<std::pair<MonotonicTime, CrashRecord>> crashes;
  for (const auto& [upstream, known] : crashes_) {
    for (const Crash& crash : known) {
      for (const LostRequest& it : crash.lost) {
        if (now - it.learned_at <= kReportPeriod) {
          crashes.emplace_back(it.learned_at,
                               CrashRecord{.upstream = upstream,
                                           .keys = it.keys,
                                           .age = Age(crash.at, now)});
        }
      }
    }
  }
  std::sort(crashes.begin(), crashes.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  for (auto& [learned_at, it] : crashes) {
    if (report.crashes.size() == kMaxReportedCrashes) {
      break;
    }
    report.crashes.push_back(std::move(it));
  }
  for (const auto& [key, it] : sound_news_) {
    if (report.sound.size() < kMaxReportedSound) {
      report.sound.push_back({.key = key, .age = Age(it.sound_at, now)});
    }
  }
  for (const auto& [key, it] : quarantined_) {
    if (now < it.EndsAt() &&
        report.quarantined.size() < kMaxReportedQuarantined) {
      report.quarantined.push_back(
          {.key = key, .age = Age(it.began_at, now), .strikes = it.strikes});
    }
  }
  return report;
}

std::vector<CrashQuarantine::Change> CrashQuarantine::TakeChanges() {
  return std::exchange(changes_, {});
}

std::size_t CrashQuarantine::quarantined_count(MonotonicTime now) const {
  return static_cast<std::size_t>(std::count_if(
      quarantined_.begin(), quarantined_.end(),
      [now](const auto& it) { return now < it.second.EndsAt(); }));
}

void CrashQuarantine::RemoveExpired(MonotonicTime now) {
  std::size_t removed = 0;
  for (auto& [upstream, crashes] : crashes_) {
    std::erase_if(crashes, [&](const Crash& it) {
      const bool expired = now - it.at > kRetention;
      removed += expired ? it.lost.size() : 0;
      return expired;
    });
  }
  if (removed > 0) {
    lost_count_ -= removed;
    IndexSuspects();
  }
  std::erase_if(sound_news_, [now](const auto& it) {
    return now - it.second.learned_at > kReportPeriod;
  });
  std::erase_if(quarantined_, [now](const auto& it) {
    return now >= it.second.ProbationEndsAt();
  });
}

void CrashQuarantine::RemoveOldestCrash() {
  std::vector<Crash>* owner = nullptr;
  std::vector<Crash>::iterator oldest;
  for (auto& [upstream, crashes] : crashes_) {
    for (auto it = crashes.begin(); it != crashes.end(); ++it) {
      if (owner == nullptr || it->at < oldest->at) {
        owner = &crashes;
        oldest = it;
      }
    }
  }
  if (owner != nullptr) {
    lost_count_ -= oldest->lost.size();
    owner->erase(oldest);
    IndexSuspects();
  }
}

void CrashQuarantine::IndexSuspects() {
  std::erase_if(crashes_, [](const auto& it) { return it.second.empty(); });
  suspects_.clear();
  for (const auto& [upstream, crashes] : crashes_) {
    for (const Crash& crash : crashes) {
      for (const LostRequest& it : crash.lost) {
        ForEachKey(it.keys, [&](const SuspectKey& key, std::size_t) {
          suspects_.insert(key);
        });
      }
    }
  }
}

}  // namespace flamingogauge
