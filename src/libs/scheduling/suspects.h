#ifndef FLAMINGOGAUGE_LIBS_SCHEDULING_SUSPECTS_H_
#define FLAMINGOGAUGE_LIBS_SCHEDULING_SUSPECTS_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <unordered_map>

#include "libs/kernel/time.h"
#include "libs/model/fingerprint.h"

namespace flamingogauge {

// Tracks the fingerprints that were in flight when an upstream crashed
// (suspects) and those that were in flight at a second crash (quarantined).
// The number of suspects is bounded: a suspect is evicted after kRetention, and
// the oldest one is evicted when there are kMaxSuspects.
class Suspects {
 public:
  static constexpr std::chrono::minutes kRetention{10};
  static constexpr std::size_t kMaxSuspects = 4096;

  // Records that the fingerprint is dispatched to an upstream again.
  void OnGranted(const Fingerprint& fingerprint) {
    const auto it = suspects_.find(fingerprint);
    if (it != suspects_.end()) {
      it->second.granted_again = true;
    }
  }

  // Records that the fingerprint was in flight at a crash. At the second crash,
  // quarantines the fingerprint until `until` and returns true. Each request in
  // flight reports the same crash, so a report counts as a second crash only if
  // the fingerprint was granted again since the first one. Both crashes may be
  // of the same, restarted upstream.
  bool OnCrash(MonotonicTime now,
               const Fingerprint& fingerprint,
               MonotonicTime until) {
    const auto it = suspects_.find(fingerprint);
    if (it == suspects_.end()) {
      PruneForInsert(now);
      suspects_.emplace(fingerprint, Suspect{.since = now});
      return false;
    }
    if (!it->second.granted_again) {
      return false;
    }
    suspects_.erase(it);
    quarantined_[fingerprint] = until;
    return true;
  }

  // A suspect whose request completes is cleared.
  void OnCompleted(const Fingerprint& fingerprint) {
    suspects_.erase(fingerprint);
  }

  bool Contains(const Fingerprint& fingerprint) const {
    return suspects_.contains(fingerprint);
  }

  bool IsQuarantined(MonotonicTime now, const Fingerprint& fingerprint) {
    const auto it = quarantined_.find(fingerprint);
    if (it == quarantined_.end()) {
      return false;
    }
    if (now < it->second) {
      return true;
    }
    quarantined_.erase(it);
    return false;
  }

  std::size_t size() const { return suspects_.size(); }

 private:
  struct Suspect {
    MonotonicTime since;
    bool granted_again = false;
  };

  // Removes expired entries and, at kMaxSuspects, the oldest suspect.
  void PruneForInsert(MonotonicTime now) {
    std::erase_if(suspects_, [now](const auto& entry) {
      return now - entry.second.since > kRetention;
    });
    std::erase_if(quarantined_,
                  [now](const auto& entry) { return now >= entry.second; });
    if (suspects_.size() >= kMaxSuspects) {
      suspects_.erase(std::min_element(suspects_.begin(), suspects_.end(),
                                       [](const auto& a, const auto& b) {
                                         return a.second.since < b.second.since;
                                       }));
    }
  }

  std::unordered_map<Fingerprint, Suspect> suspects_;
  std::unordered_map<Fingerprint, MonotonicTime> quarantined_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_SCHEDULING_SUSPECTS_H_
