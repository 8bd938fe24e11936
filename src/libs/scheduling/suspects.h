#ifndef FLAMINGOGAUGE_LIBS_SCHEDULING_SUSPECTS_H_
#define FLAMINGOGAUGE_LIBS_SCHEDULING_SUSPECTS_H_

#include <cstddef>
#include <unordered_map>

#include "libs/kernel/time.h"
#include "libs/model/fingerprint.h"
#include "libs/model/ids.h"

namespace flamingogauge {

// Remembers the fingerprints that were in flight when an upstream crashed, and
// those that crashed two.
class Suspects {
 public:
  // Returns true when this is the second upstream that crashed with it; it is
  // then quarantined until `until`.
  bool OnCrash(const Fingerprint& fingerprint,
               const UpstreamId& upstream,
               MonotonicTime until) {
    const auto [it, first] = crashed_.try_emplace(fingerprint, upstream);
    if (first || it->second == upstream) {
      return false;
    }
    quarantined_[fingerprint] = until;
    return true;
  }
  // A suspect that completes is cleared.
  void OnCompleted(const Fingerprint& fingerprint) {
    crashed_.erase(fingerprint);
  }
  bool Contains(const Fingerprint& fingerprint) const {
    return crashed_.contains(fingerprint);
  }
  bool IsQuarantined(MonotonicTime now, const Fingerprint& fingerprint) {
    const auto it = quarantined_.find(fingerprint);
    if (it == quarantined_.end() || now < it->second) {
      return it != quarantined_.end();
    }
    quarantined_.erase(it);
    crashed_.erase(fingerprint);
    return false;
  }
  std::size_t size() const { return crashed_.size(); }

 private:
  // The first upstream that crashed.
  std::unordered_map<Fingerprint, UpstreamId> crashed_;
  std::unordered_map<Fingerprint, MonotonicTime> quarantined_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_SCHEDULING_SUSPECTS_H_
