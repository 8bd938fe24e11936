#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_CRASH_QUARANTINE_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_CRASH_QUARANTINE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "libs/dispatching/blame_analysis.h"
#include "libs/dispatching/crash_evidence.h"
#include "libs/dispatching/crash_records.h"
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
  // Further parts of a lost request's prompt are not recorded.
  static constexpr std::size_t kMaxPromptParts = 16;

  // A change of the list of quarantined keys, for the log.
  struct Change {
    QuarantinedKey entry;
    // False if the quarantine ended.
    bool began = true;
    // Crashes since the key was last sound, as far as this host knows.
    int crashes = 0;
  };

  // Why a request is refused.
  struct Refusal {
    SuspectKey key;
    // Until the quarantine ends.
    std::chrono::milliseconds time_left{0};
  };

  // A request of this host was lost in a crash at `lost_at`. `upstream` is a
  // PeerUpstreamKey.
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

  // Weighs new evidence, and crashes that count by now.
  void Update(MonotonicTime now) { EvaluateIfDue(now); }

  // Returns why and for how long the request is refused, if it is.
  std::optional<Refusal> FindQuarantined(const RequestKeys& keys,
                                         MonotonicTime now);
  // The same as of the last evaluation of the evidence.
  std::optional<Refusal> FindRefusal(const RequestKeys& keys,
                                     MonotonicTime now) const;

  // True if the request with this fingerprint was lost in a recent crash.
  bool IsSuspect(std::uint64_t request) const;

  // What other hosts should know. Bounded: the newest crashes go first, the
  // other entries take turns from one report to the next.
  CrashEvidence Report(MonotonicTime now);

  // Removes and returns the changes since the last call.
  std::vector<Change> TakeChanges();

  std::size_t quarantined_count(MonotonicTime now) const;
  // Keys that were present in a recent crash.
  std::size_t suspect_count() const { return records_.suspect_count(); }

 private:
  struct Quarantine {
    MonotonicTime began_at;
    int strikes = 1;
    // True while this host, which knows the proof, finds others to blame. The
    // key is not refused here; other hosts decide for themselves.
    bool is_withdrawn = false;

    bool IsInForce(MonotonicTime now) const {
      return !is_withdrawn && now < EndsAt();
    }
    MonotonicTime EndsAt() const;
    // Until then, the first crash renews the quarantine.
    MonotonicTime ProbationEndsAt() const;
  };
  struct SoundNews {
    MonotonicTime sound_at;
    MonotonicTime learned_at;
  };

  // Returns false if nothing is new.
  bool AddCrash(std::uint64_t upstream,
                const RequestKeys& keys,
                MonotonicTime at,
                MonotonicTime now);
  void AddSound(const SuspectKey& key,
                MonotonicTime sound_at,
                MonotonicTime now);
  // Returns true if the key was not known as quarantined.
  bool AddQuarantine(const QuarantinedKey& entry, MonotonicTime now);

  // Ends the quarantine of a key that was sound after its last crash.
  void ReleaseIfSound(const SuspectKey& key, MonotonicTime now);
  // Quarantines the fewest keys that explain the crashes.
  void Evaluate(MonotonicTime now);
  // Evaluates new crashes, at once unless there is a flood of them.
  void EvaluateSoon(MonotonicTime now);
  void EvaluateIfDue(MonotonicTime now);
  MonotonicTime EarliestEvaluation() const;
  // The quarantined keys that were decided on crashes that this host does not
  // know, or no longer: its records of the time of the decision are no proof.
  std::set<SuspectKey> DecidedByOthers(const BlameAnalysis& analysis) const;
  // Withdraws the quarantines for which other keys turned out to be to blame,
  // and puts those into force again that are to blame after all.
  void WithdrawExplained(const std::set<SuspectKey>& explaining,
                         MonotonicTime now);
  void RenewQuarantines(MonotonicTime now);
  void Begin(const SuspectKey& key,
             int strikes,
             int crashes,
             MonotonicTime now);
  void RecordChange(const SuspectKey& key,
                    const Quarantine& quarantine,
                    bool began,
                    MonotonicTime now);
  void RemoveExpired(MonotonicTime now);

  CrashRecords records_;
  SoundKeys sound_;
  // What is reported of `sound_`: suspects only.
  std::map<SuspectKey, SoundNews> sound_news_;
  std::map<SuspectKey, Quarantine> quarantined_;
  // The last entries of `sound_news_` and `quarantined_` in a report.
  SuspectKey reported_sound_;
  SuspectKey reported_quarantined_;
  std::vector<Change> changes_;
  MonotonicTime next_evaluation_ = MonotonicTime::max();
  MonotonicTime evaluated_at_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_CRASH_QUARANTINE_H_
