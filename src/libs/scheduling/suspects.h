#ifndef FLAMINGOGAUGE_LIBS_SCHEDULING_SUSPECTS_H_
#define FLAMINGOGAUGE_LIBS_SCHEDULING_SUSPECTS_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <unordered_map>

#include "libs/kernel/time.h"
#include "libs/model/fingerprint.h"

namespace flamingogauge {

// Remembers the fingerprints that were in flight when an upstream crashed, and
// those that were in flight at a second crash. Bounded: a suspect that is not
// seen again for kRetention is forgotten, and so is the oldest one beyond
// kMaxSuspects.
class Suspects {
 public:
  static constexpr std::chrono::minutes kRetention{10};
  static constexpr std::size_t kMaxSuspects = 4096;

  // The fingerprint is sent to an upstream again.
  void OnGranted(const Fingerprint& fingerprint) {
    const auto it = suspects_.find(fingerprint);
    if (it != suspects_.end()) {
      it->second.granted_again = true;
    }
  }

  // The fingerprint was in flight at a crash. Returns true when it is the
  // second one; it is then quarantined until `until`. One crash is reported by
  // each request that was in flight, so a second report counts only after the
  // fingerprint was granted again. The upstream may be the same one, restarted.
  bool OnCrash(MonotonicTime now,
               const Fingerprint& fingerprint,
               MonotonicTime until) {
    const auto it = suspects_.find(fingerprint);
    if (it == suspects_.end()) {
      MakeRoom(now);
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

  // A suspect that completes is cleared.
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

  void MakeRoom(MonotonicTime now) {
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
