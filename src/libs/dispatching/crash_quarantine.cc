#include "libs/dispatching/crash_quarantine.h"

#include <algorithm>
#include <utility>

namespace flamingogauge {
namespace {

using std::chrono::duration_cast;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

// News is included in the reports of this period, some of which may be lost.
constexpr seconds kReportPeriod{5};
// A key that is in use is sound again and again; it is reported at this
// interval.
constexpr milliseconds kSoundInterval{300};
// Above this number of suspects, an evaluation takes several milliseconds and
// follows the last one at this interval.
constexpr std::size_t kManySuspects = 1000;
constexpr milliseconds kFloodInterval{100};
// The times of a crash and of the decision on it differ by less than this
// between hosts, as their messages take different ways.
constexpr milliseconds kMaxTimeDifference{300};
constexpr seconds kFirstQuarantine{60};
constexpr hours kMaxQuarantine{1};
constexpr std::size_t kMaxQuarantined = 256;
// Bound the size of messages.
constexpr std::size_t kMaxReportedCrashes = 64;
constexpr std::size_t kMaxReportedSound = 64;
constexpr std::size_t kMaxReportedQuarantined = 32;

milliseconds Age(MonotonicTime time, MonotonicTime now) {
  return duration_cast<milliseconds>(now - time);
}

// Calls `visit` for the entries after the one with the key `last`, and around
// to it, until `visit` returns false. Sets `last` to the last one visited.
template <typename Map, typename Visit>
void VisitInTurn(const Map& map, SuspectKey& last, const Visit& visit) {
  auto it = map.upper_bound(last);
  for (std::size_t n = 0; n < map.size(); ++n, ++it) {
    if (it == map.end()) {
      it = map.begin();
    }
    last = it->first;
    if (!visit(*it)) {
      return;
    }
  }
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

void CrashQuarantine::OnCrash(std::uint64_t upstream,
                              RequestKeys keys,
                              MonotonicTime lost_at,
                              MonotonicTime now) {
  if (keys.prompt_parts.size() > kMaxPromptParts) {
    keys.prompt_parts.resize(kMaxPromptParts);
  }
  if (AddCrash(upstream, keys, lost_at, now)) {
    EvaluateSoon(now);
  }
}

void CrashQuarantine::OnSound(const RequestKeys& keys,
                              MonotonicTime began_at,
                              MonotonicTime now) {
  for (const SuspectKey& it : AllKeys(keys)) {
    // A request is seldom repeated, so that only suspects are recorded.
    if (it.kind == SuspectKey::Kind::kPromptPart || records_.IsSuspect(it) ||
        quarantined_.contains(it)) {
      AddSound(it, began_at, now);
    }
  }
}

void CrashQuarantine::Merge(const CrashEvidence& evidence, MonotonicTime now) {
  for (const SoundKey& it : evidence.sound) {
    AddSound(it.key, now - it.age, now);
  }
  bool is_new = false;
  for (const QuarantinedKey& it : evidence.quarantined) {
    is_new = AddQuarantine(it, now) || is_new;
  }
  for (const CrashRecord& it : evidence.crashes) {
    is_new = AddCrash(it.upstream, it.keys, now - it.age, now) || is_new;
  }
  if (is_new) {
    EvaluateSoon(now);
  }
}

bool CrashQuarantine::AddCrash(std::uint64_t upstream,
                               const RequestKeys& keys,
                               MonotonicTime at,
                               MonotonicTime now) {
  if (!records_.Add(upstream, keys, at, now)) {
    return false;
  }
  for (const SuspectKey& it : AllKeys(keys)) {
    if (const auto sound_at = sound_.Find(it)) {
      sound_news_.try_emplace(
          it, SoundNews{.sound_at = *sound_at, .learned_at = now});
    }
  }
  return true;
}

void CrashQuarantine::AddSound(const SuspectKey& key,
                               MonotonicTime sound_at,
                               MonotonicTime now) {
  if (!sound_.Record(key, sound_at)) {
    return;
  }
  const bool is_quarantined = quarantined_.contains(key);
  if (is_quarantined) {
    ReleaseIfSound(key, now);
  }
  if (!is_quarantined && !records_.IsSuspect(key)) {
    return;
  }
  const auto [it, inserted] = sound_news_.try_emplace(
      key, SoundNews{.sound_at = sound_at, .learned_at = now});
  if (!inserted && sound_at - it->second.sound_at >= kSoundInterval) {
    it->second = {.sound_at = sound_at, .learned_at = now};
  }
}

bool CrashQuarantine::AddQuarantine(const QuarantinedKey& entry,
                                    MonotonicTime now) {
  const Quarantine added{.began_at = now - entry.age, .strikes = entry.strikes};
  const auto sound_at = sound_.Find(entry.key);
  if (now >= added.EndsAt() || (sound_at && *sound_at > added.began_at)) {
    return false;
  }
  const auto known = quarantined_.find(entry.key);
  if (known == quarantined_.end() || now >= known->second.EndsAt()) {
    const bool has_room =
        known != quarantined_.end() || quarantined_.size() < kMaxQuarantined;
    if (has_room) {
      quarantined_.insert_or_assign(entry.key, added);
      RecordChange(entry.key, added, true, now);
    }
    return has_room;
  }
  // Of two hosts' decisions the earlier one counts, so that a decision that is
  // passed on does not last longer with each message.
  Quarantine& it = known->second;
  if (added.strikes > it.strikes ||
      (added.strikes == it.strikes && added.began_at < it.began_at)) {
    it.began_at = added.began_at;
    it.strikes = added.strikes;
  }
  return false;
}

void CrashQuarantine::ReleaseIfSound(const SuspectKey& key, MonotonicTime now) {
  const auto it = quarantined_.find(key);
  const auto sound_at = sound_.Find(key);
  if (it == quarantined_.end() || !sound_at ||
      *sound_at <= records_.LastCrash(key).value_or(it->second.began_at)) {
    return;
  }
  if (!it->second.is_withdrawn) {
    RecordChange(key, it->second, false, now);
  }
  quarantined_.erase(it);
  // What it explained may be due to a key that was withdrawn.
  next_evaluation_ = std::min(next_evaluation_, now);
}

void CrashQuarantine::RecordChange(const SuspectKey& key,
                                   const Quarantine& quarantine,
                                   bool began,
                                   MonotonicTime now) {
  changes_.push_back({.entry = {.key = key,
                                .age = Age(quarantine.began_at, now),
                                .strikes = quarantine.strikes},
                      .began = began});
}

void CrashQuarantine::Evaluate(MonotonicTime now) {
  RemoveExpired(now);
  RenewQuarantines(now);
  const BlameAnalysis analysis(records_, sound_, now);
  std::set<SuspectKey> explaining = DecidedByOthers(analysis);
  for (const BlameAnalysis::Proof& it : analysis.Explain(explaining)) {
    if (!quarantined_.contains(it.key) &&
        quarantined_.size() < kMaxQuarantined) {
      Begin(it.key, 1, it.crashes, now);
    }
  }
  WithdrawExplained(explaining, now);
  evaluated_at_ = now;
  next_evaluation_ = std::max(analysis.NextChange(), EarliestEvaluation());
}

void CrashQuarantine::EvaluateSoon(MonotonicTime now) {
  next_evaluation_ = std::max(now, EarliestEvaluation());
  EvaluateIfDue(now);
}

MonotonicTime CrashQuarantine::EarliestEvaluation() const {
  const bool is_flood = records_.suspect_count() > kManySuspects;
  return is_flood ? evaluated_at_ + kFloodInterval : evaluated_at_;
}

void CrashQuarantine::EvaluateIfDue(MonotonicTime now) {
  if (now >= next_evaluation_) {
    Evaluate(now);
  }
}

std::set<SuspectKey> CrashQuarantine::DecidedByOthers(
    const BlameAnalysis& analysis) const {
  std::set<SuspectKey> keys;
  for (const auto& [key, it] : quarantined_) {
    if (!analysis.IsProven(key, it.began_at + kMaxTimeDifference)) {
      keys.insert(key);
    }
  }
  return keys;
}

// A host knows its own lost requests first, and may blame one that was lost
// beside the request that is to blame. A host that was cut off may be wrong
// about both, so that this is no proof that the key is sound.
void CrashQuarantine::WithdrawExplained(const std::set<SuspectKey>& explaining,
                                        MonotonicTime now) {
  for (auto& [key, it] : quarantined_) {
    const bool is_withdrawn = !explaining.contains(key);
    if (is_withdrawn != std::exchange(it.is_withdrawn, is_withdrawn) &&
        now < it.EndsAt()) {
      RecordChange(key, it, !is_withdrawn, now);
    }
  }
}

void CrashQuarantine::RenewQuarantines(MonotonicTime now) {
  std::vector<std::pair<SuspectKey, int>> renewed;
  for (const auto& [key, it] : quarantined_) {
    if (now < it.EndsAt() || it.is_withdrawn) {
      continue;
    }
    const auto last_crash = records_.LastCrash(key);
    if (last_crash && *last_crash >= it.EndsAt()) {
      renewed.emplace_back(key, it.strikes + 1);
    }
  }
  for (const auto& [key, strikes] : renewed) {
    Begin(key, strikes, 1, now);
  }
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
  return FindRefusal(keys, now);
}

std::optional<CrashQuarantine::Refusal> CrashQuarantine::FindRefusal(
    const RequestKeys& keys,
    MonotonicTime now) const {
  if (quarantined_.empty()) {
    return std::nullopt;
  }
  for (const SuspectKey& key : AllKeys(keys)) {
    const auto it = quarantined_.find(key);
    if (it != quarantined_.end() && it->second.IsInForce(now)) {
      return Refusal{
          .key = key,
          .time_left = duration_cast<milliseconds>(it->second.EndsAt() - now)};
    }
  }
  return std::nullopt;
}

bool CrashQuarantine::IsSuspect(std::uint64_t request) const {
  return records_.IsSuspect(
      {.kind = SuspectKey::Kind::kRequest, .id = request});
}

CrashEvidence CrashQuarantine::Report(MonotonicTime now) {
  RemoveExpired(now);
  EvaluateIfDue(now);
  CrashEvidence report;
  report.crashes =
      records_.Newest(now - kReportPeriod, kMaxReportedCrashes, now);
  VisitInTurn(sound_news_, reported_sound_, [&](const auto& it) {
    report.sound.push_back(
        {.key = it.first, .age = Age(it.second.sound_at, now)});
    return report.sound.size() < kMaxReportedSound;
  });
  VisitInTurn(quarantined_, reported_quarantined_, [&](const auto& it) {
    if (it.second.IsInForce(now)) {
      report.quarantined.push_back({.key = it.first,
                                    .age = Age(it.second.began_at, now),
                                    .strikes = it.second.strikes});
    }
    return report.quarantined.size() < kMaxReportedQuarantined;
  });
  return report;
}

std::vector<CrashQuarantine::Change> CrashQuarantine::TakeChanges() {
  return std::exchange(changes_, {});
}

std::size_t CrashQuarantine::quarantined_count(MonotonicTime now) const {
  return static_cast<std::size_t>(std::count_if(
      quarantined_.begin(), quarantined_.end(),
      [now](const auto& it) { return it.second.IsInForce(now); }));
}

void CrashQuarantine::RemoveExpired(MonotonicTime now) {
  records_.RemoveExpired(now);
  std::erase_if(sound_news_, [now](const auto& it) {
    return now - it.second.learned_at > kReportPeriod;
  });
  std::erase_if(quarantined_, [now](const auto& it) {
    return now >= (it.second.is_withdrawn ? it.second.EndsAt()
                                          : it.second.ProbationEndsAt());
  });
}

}  // namespace flamingogauge
