#ifndef FLAMINGOGAUGE_LIBS_CLAIMS_CLAIM_EPOCH_CLOCK_H_
#define FLAMINGOGAUGE_LIBS_CLAIMS_CLAIM_EPOCH_CLOCK_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "libs/kernel/time.h"

namespace flamingogauge {

struct ClaimEpochOptions {
  // The least time between two epochs, by the clock of the host that advances.
  std::chrono::minutes epoch_length{60};
  // A claim of epoch e may be deleted from epoch e + retention_epochs + 1 on.
  // The addition covers a claimant whose knowledge is one epoch old.
  std::uint64_t retention_epochs = 24;
  // How old the knowledge of the epoch may be when a claim is written.
  std::chrono::minutes freshness{10};
};

// Counts the age of claims in epochs kept in one object of the store, so that
// the retention does not depend on wall clocks, which differ between hosts. A
// host advances the epoch only after it has itself seen the same epoch for a
// whole epoch length. Hosts that are replaced often make epochs longer, never
// shorter.
class ClaimEpochClock {
 public:
  explicit ClaimEpochClock(ClaimEpochOptions options) : options_(options) {}

  // Sets the retention; it is rounded up to whole epochs.
  void SetRetention(std::chrono::milliseconds retention);

  // The epoch object was read by a request sent at `requested_at` and answered
  // at `answered_at`. A lower epoch than a known one is an old answer and is
  // ignored.
  void OnRead(MonotonicTime requested_at,
              MonotonicTime answered_at,
              std::uint64_t epoch);

  // The epoch for a new claim, or nothing when the knowledge is too old.
  std::optional<std::uint64_t> EpochForClaim(MonotonicTime now) const;

  // True when this host may advance the epoch by a conditional update.
  bool MayAdvance(MonotonicTime now) const;

  // True when a claim of that epoch is past its retention.
  bool IsExpired(std::uint64_t claim_epoch) const;

 private:
  ClaimEpochOptions options_;
  std::optional<std::uint64_t> epoch_;
  MonotonicTime first_seen_;
  MonotonicTime last_seen_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_CLAIMS_CLAIM_EPOCH_CLOCK_H_
