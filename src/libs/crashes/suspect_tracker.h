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

// Identifies the requests that crash the upstreams of a group. After a crash,
// every fingerprint in flight on the upstream becomes a suspect. A suspect is
// quarantined if an upstream crashes again while running it, and cleared when
// it completes.
//
// A fingerprint crashes at most two upstreams of the group, because it runs on
// one upstream at a time. No other suspect is quarantined with it, because two
// suspects never run on the same upstream.
class SuspectTracker {
 public:
  struct Options {
    // A suspect without another crash for this long is cleared.
    std::chrono::milliseconds retention{600000};
    std::size_t max_suspects = 4096;
  };

  explicit SuspectTracker(const Options& options) : options_(options) {}

  // Returns false if the fingerprint is already running in the group, or if it
  // is a suspect and another suspect is running on `upstream`.
  bool MayDispatch(const Fingerprint& fingerprint,
                   const UpstreamId& upstream) const;

  void OnDispatched(const Fingerprint& fingerprint, const UpstreamId& upstream);

  // The request ended without a crash of the upstream. `completed` is true if
  // its response was complete.
  void OnEnded(const Fingerprint& fingerprint,
               const UpstreamId& upstream,
               bool completed);

  // Returns the fingerprints to quarantine because of this crash. Repeated
  // reports of the same crash have no effect, because nothing is in flight any
  // more.
  std::vector<Fingerprint> OnCrashed(const UpstreamId& upstream,
                                     MonotonicTime now);

  bool IsSuspect(const Fingerprint& fingerprint) const {
    return suspects_.count(fingerprint) > 0;
  }
  std::size_t suspect_count() const { return suspects_.size(); }

 private:
  void AddSuspect(const Fingerprint& fingerprint, MonotonicTime now);

  Options options_;
  // Time of the crash that made a fingerprint a suspect.
  std::unordered_map<Fingerprint, MonotonicTime> suspects_;
  std::unordered_map<Fingerprint, UpstreamId> running_;
  std::unordered_map<UpstreamId, std::vector<Fingerprint>> on_upstream_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_CRASHES_SUSPECT_TRACKER_H_
