#ifndef FLAMINGOGAUGE_LIBS_SCHEDULING_SUSPECTS_H_
#define FLAMINGOGAUGE_LIBS_SCHEDULING_SUSPECTS_H_

#include <cstddef>
#include <unordered_map>

#include "libs/model/fingerprint.h"
#include "libs/model/ids.h"

namespace flamingogauge {

// Remembers the fingerprints that were in flight when an upstream crashed.
class Suspects {
 public:
  // Returns true when this is the second upstream that crashed with it, so
  // that it is to be quarantined.
  bool OnCrash(const Fingerprint& fingerprint, const UpstreamId& upstream) {
    const auto [it, first] = crashed_.try_emplace(fingerprint, upstream);
    return !first && it->second != upstream;
  }
  // A suspect that completes is cleared.
  void OnCompleted(const Fingerprint& fingerprint) {
    crashed_.erase(fingerprint);
  }
  bool Contains(const Fingerprint& fingerprint) const {
    return crashed_.contains(fingerprint);
  }
  std::size_t size() const { return crashed_.size(); }

 private:
  // The first upstream that crashed.
  std::unordered_map<Fingerprint, UpstreamId> crashed_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_SCHEDULING_SUSPECTS_H_
