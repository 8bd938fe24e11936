#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_CRASH_QUARANTINE_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_CRASH_QUARANTINE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "libs/dispatching/crash_evidence.h"
#include "libs/dispatching/sound_keys.h"
#include "libs/kernel/time.h"

namespace flamingogauge {

// Decides which requests are refused because they, or a part of their prompts,
// crash the upstreams that run them. Answers to single requests and prompt
// parts that crash one upstream after another, while sound requests run beside
// them and share most of their prompts.
//
// All requests that were lost in the same crash are suspects; at most one of
// them is to blame. A key is quarantined once it was present in several crashes
// since an upstream last wrote a response with it, not counting crashes that
// another quarantined key explains. A quarantine ends after a while; the first
// crash after that renews it for twice as long.
//
// Evidence of other hosts is merged in any order and repeatedly. What is not
// known to this host yet is not refused by it.
class CrashQuarantine {
 public:
  // Crashes in which a request was lost before it is quarantined.
  static constexpr int kRequestThreshold = 3;
  // The same for a prompt part. At least two of the crashes must have happened
  // under other requests than the one that was lost most often.
  static constexpr int kPartThreshold = 3;
  // The same for a part with which responses were written before.
  static constexpr int kSoundPartThreshold = 5;
  static constexpr std::size_t kMaxPromptParts = 16;

  // A change of the list of quarantined keys, for the log.
  struct Change {
    QuarantinedKey entry;
    // False if the quarantine ended.
    bool began = true;
    // Crashes since the key was last sound, as far as this host knows.
    int crashes = 0;
  };

  struct Refusal {
    SuspectKey key;
    std::chrono::milliseconds time_left{0};
  };

  // A request of this host was lost in a crash at `lost_at`.
  void OnCrash(std::uint64_t upstream,
               RequestKeys keys,
               MonotonicTime lost_at,
               MonotonicTime now);
  // An upstream began to write a response at `began_at` and went on without a
  // crash.
  void OnSound(const RequestKeys& keys,
               MonotonicTime began_at,
               MonotonicTime now);
  // Applies what another host reports.
  void Merge(const CrashEvidence& evidence, MonotonicTime now);

  // Returns why and for how long the request is refused, if it is.
  std::optional<Refusal> FindQuarantined(const RequestKeys& keys,
                                         MonotonicTime now);

  // True if the request was lost in a recent crash.
  bool IsSuspect(std::uint64_t request) const;

  // What other hosts should know. Bounded; the newest evidence goes first.
  CrashEvidence Report(MonotonicTime now);

  // Removes and returns the changes since the last call.
  std::vector<Change> TakeChanges();

  std::size_t quarantined_count(MonotonicTime now) const;
  // Keys that were present in a recent crash.
  std::size_t suspect_count() const { return suspects_.size(); }

 private:
  struct LostRequest {
    RequestKeys keys;
    MonotonicTime learned_at;
  };
  // One crash of an upstream, as seen by all hosts.
  struct Crash {
    MonotonicTime at;
    std::vector<LostRequest> lost;
  };
  struct Quarantine {
    MonotonicTime began_at;
    int strikes = 1;

    MonotonicTime EndsAt() const;
    // Until then, the first crash renews the quarantine.
    MonotonicTime ProbationEndsAt() const;
  };
  // The crashes that speak against a key.
  struct Case {
    int crashes = 0;
    // Crashes by the fingerprint of the request that was lost.
    std::map<std::uint64_t, int> crashes_by_request;
    // The key's position in the prompt; 0 for a request.
    std::size_t position = 0;
    bool was_sound = false;

    bool IsProven(SuspectKey::Kind kind) const;
  };
  using Cases = std::map<SuspectKey, Case>;
  struct Proof {
    SuspectKey key;
    int crashes = 0;
  };
  struct SoundNews {
    MonotonicTime sound_at;
    MonotonicTime learned_at;
  };

  // These return false if nothing is new.
  bool AddCrash(std::uint64_t upstream,
                const RequestKeys& keys,
                MonotonicTime at,
                MonotonicTime now);
  bool AddSound(const SuspectKey& key,
                MonotonicTime sound_at,
                MonotonicTime now);
  bool AddQuarantine(const QuarantinedKey& entry, MonotonicTime now);

  Crash& FindOrAddCrash(std::uint64_t upstream, MonotonicTime at);
  // Ends the quarantine of a key that was sound after its last crash.
  void ReleaseIfSound(const SuspectKey& key, MonotonicTime now);
  std::optional<MonotonicTime> LastCrash(const SuspectKey& key) const;
  // Quarantines the fewest keys that explain the crashes.
  void Evaluate(MonotonicTime now);
  // Sets the time at which the next crash counts against prompt parts.
  void ScheduleEvaluation(MonotonicTime now);
  void EvaluateIfDue(MonotonicTime now);
  static std::optional<Proof> FindWorst(const Cases& cases);
  // Ends the quarantines for which other keys turned out to be to blame.
  void ReleaseExplained(const std::set<SuspectKey>& explaining,
                        MonotonicTime now);
  void RenewQuarantines(MonotonicTime now);
  // The cases of the crashes that none of the `explaining` keys explains.
  Cases CollectCases(const std::set<SuspectKey>& explaining,
                     MonotonicTime now) const;
  void AddToCases(const Crash& crash,
                  const std::set<SuspectKey>& explaining,
                  MonotonicTime now,
                  Cases& cases) const;
  void AddToCase(const SuspectKey& key,
                 std::size_t position,
                 std::uint64_t request,
                 const Crash& crash,
                 Cases& cases) const;
  // True if a lost request has one of the prompt parts.
  static bool IsExplainedByPart(const Crash& crash,
                                const std::set<SuspectKey>& explaining);
  // True if a lost request other than `request` is one of the keys.
  static bool IsExplainedByOther(const Crash& crash,
                                 std::uint64_t request,
                                 const std::set<SuspectKey>& explaining);
  void Begin(const SuspectKey& key,
             int strikes,
             int crashes,
             MonotonicTime now);
  void RemoveExpired(MonotonicTime now);
  void RemoveOldestCrash();
  void IndexSuspects();

  // By the upstream's PeerUpstreamKey.
  std::map<std::uint64_t, std::vector<Crash>> crashes_;
  std::size_t lost_count_ = 0;
  // The keys of all lost requests.
  std::set<SuspectKey> suspects_;
  SoundKeys sound_;
  // What is reported of `sound_`: suspects only.
  std::map<SuspectKey, SoundNews> sound_news_;
  std::map<SuspectKey, Quarantine> quarantined_;
  std::vector<Change> changes_;
  MonotonicTime next_evaluation_ = MonotonicTime::max();
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_CRASH_QUARANTINE_H_
