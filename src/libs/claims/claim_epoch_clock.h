#ifndef FLAMINGOGAUGE_LIBS_CLAIMS_CLAIM_EPOCH_CLOCK_H_
#define FLAMINGOGAUGE_LIBS_CLAIMS_CLAIM_EPOCH_CLOCK_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "libs/kernel/time.h"

namespace flamingogauge {

struct ClaimEpochOptions {
  // Minimum length of an epoch, by the clock of the host that advances it.
  std::chrono::minutes epoch_length{60};
  // A claim of epoch e may be deleted from epoch e + retention_epochs + 1 on.
  // The additional epoch covers a claim that was written with an epoch that was
  // out of date by one.
  std::uint64_t retention_epochs = 24;
  // Maximum age of the last read of the epoch when a claim is written.
  std::chrono::minutes max_read_age{10};
};

// Measures the age of claims in epochs, which are stored in one object of the
// store, so that the retention does not depend on wall clocks, which differ
// between hosts. A host advances the epoch only after it has observed the same
// epoch for a complete epoch length. Frequent replacement of hosts makes epochs
// longer, never shorter.
class ClaimEpochClock {
 public:
  explicit ClaimEpochClock(ClaimEpochOptions options) : options_(options) {}

  // Sets the retention; it is rounded up to whole epochs.
  void SetRetention(std::chrono::milliseconds retention);

  // The epoch object was read by a request sent at `requested_at` and answered
  // at `answered_at`. An epoch below the newest known one comes from an
  // outdated response and is ignored.
  void OnRead(MonotonicTime requested_at,
              MonotonicTime answered_at,
              std::uint64_t epoch);

  // The epoch for a new claim, or nothing when the last read is too old.
  std::optional<std::uint64_t> EpochForClaim(MonotonicTime now) const;

  // True when this host may advance the epoch by a conditional update.
  bool MayAdvance(MonotonicTime now) const;

  // True when the retention of a claim of this epoch has expired.
  bool IsExpired(std::uint64_t claim_epoch) const;

 private:
  ClaimEpochOptions options_;
  std::optional<std::uint64_t> epoch_;
  // When the first response with the newest known epoch arrived.
  MonotonicTime first_seen_;
  // When the latest request that returned this epoch was sent.
  MonotonicTime last_seen_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_CLAIMS_CLAIM_EPOCH_CLOCK_H_
