#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_BLAME_ANALYSIS_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_BLAME_ANALYSIS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "libs/dispatching/crash_evidence.h"
#include "libs/dispatching/crash_records.h"
#include "libs/dispatching/sound_keys.h"
#include "libs/kernel/time.h"

namespace flamingogauge {

// Finds out which keys are to blame for the recorded crashes. All requests that
// were lost in a crash are suspects, and at most one of them crashed the
// upstream. A key is to blame if it was present in several crashes since an
// upstream last wrote a response with it.
class BlameAnalysis {
 public:
  // Crashes that prove a request to be to blame.
  static constexpr int kRequestThreshold = 3;
  // The same for a prompt part with which no response was written yet, and for
  // one with which there was.
  static constexpr int kPartThreshold = 3;
  static constexpr int kSoundPartThreshold = 5;
  // Crashes that have to be left for a prompt part if those of the request that
  // was lost most often are not counted.
  static constexpr int kMinCrashesByOthers = 2;
  // A crash counts against prompt parts after this time, in which other hosts
  // report what they lost in it, and responses show which parts are sound.
  static constexpr std::chrono::milliseconds kSettleTime{600};

  struct Proof {
    SuspectKey key;
    int crashes = 0;
  };

  BlameAnalysis(const CrashRecords& records,
                const SoundKeys& sound,
                MonotonicTime now);

  // True if the crashes until `until` prove the key to be to blame, whatever
  // else was lost in them.
  bool IsProven(const SuspectKey& key, MonotonicTime until) const;
  // Returns the fewest keys that explain the crashes for which none of the
  // `explaining` keys does, and adds them to these.
  std::vector<Proof> Explain(std::set<SuspectKey>& explaining) const;
  // When the next crash counts against prompt parts.
  MonotonicTime NextChange() const;

 private:
  // A crash in which a request with a key was lost.
  struct Charge {
    const UpstreamCrash* crash = nullptr;
    std::uint64_t request = 0;
  };
  // The crashes that speak against a key.
  struct Case {
    SuspectKey key;
    std::vector<Charge> charges;
    // The key's position in the prompt; 0 for a request.
    std::size_t position = 0;
    bool was_sound = false;

    bool IsProven() const;
    // True if this is the better explanation: it explains more crashes, or is
    // the request rather than a part of its prompt, or a part that was never
    // sound, or the part that fewer requests share because it comes later.
    bool IsPreferredTo(const Case& other) const;
  };
  using Cases = std::map<SuspectKey, Case>;

  Cases CollectCases() const;
  void AddCrash(const UpstreamCrash& crash, Cases& cases) const;
  void AddToCase(const SuspectKey& key,
                 std::size_t position,
                 const Charge& charge,
                 Cases& cases) const;
  std::vector<Case> ProvenCases() const;

  const CrashRecords& records_;
  const SoundKeys& sound_;
  const MonotonicTime now_;
  const Cases cases_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_BLAME_ANALYSIS_H_
