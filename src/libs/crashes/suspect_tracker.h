#ifndef FLAMINGOGAUGE_LIBS_CRASHES_SUSPECT_TRACKER_H_
#define FLAMINGOGAUGE_LIBS_CRASHES_SUSPECT_TRACKER_H_

#include <chrono>
#include <cstddef>
#include <unordered_map>
#include <vector>

#include "libs/kernel/time.h"
#include "libs/model/fingerprint.h"
#include "libs/model/ids.h"

namespace flamingogauge {

// Finds the requests that crash the upstreams of one group. After a crash every
// fingerprint in flight there is a suspect; a second crash with it on board
// ends in quarantine, and a completion clears it.
//
// A fingerprint loses the group at most two upstreams, because it runs on one
// upstream at a time. It takes no innocent suspect with it, because two
// suspects never share an upstream.
class SuspectTracker {
 public:
  struct Options {
    // A suspect that is not seen again for this long is cleared.
    std::chrono::milliseconds retention{600000};
    std::size_t max_suspects = 4096;
  };

  explicit SuspectTracker(const Options& options) : options_(options) {}

  // False while the fingerprint runs anywhere in the group, or when it is a
  // suspect and another suspect runs on that upstream.
  bool MayDispatch(const Fingerprint& fingerprint,
                   const UpstreamId& upstream) const;

  void OnDispatched(const Fingerprint& fingerprint, const UpstreamId& upstream);

  // The request ended without a crash of the upstream. `completed` tells that
  // its answer was complete.
  void OnEnded(const Fingerprint& fingerprint,
               const UpstreamId& upstream,
               bool completed);

  // Returns the fingerprints that this crash puts into quarantine. Further
  // reports of one crash have no effect, as nothing is in flight any more.
  std::vector<Fingerprint> OnCrashed(const UpstreamId& upstream,
                                     MonotonicTime now);

  bool IsSuspect(const Fingerprint& fingerprint) const {
    return suspects_.count(fingerprint) > 0;
  }
  std::size_t suspect_count() const { return suspects_.size(); }

 private:
  void AddSuspect(const Fingerprint& fingerprint, MonotonicTime now);

  Options options_;
  // When a fingerprint was on board of its one crash.
  std::unordered_map<Fingerprint, MonotonicTime> suspects_;
  std::unordered_map<Fingerprint, UpstreamId> running_;
  std::unordered_map<UpstreamId, std::vector<Fingerprint>> on_upstream_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_CRASHES_SUSPECT_TRACKER_H_
