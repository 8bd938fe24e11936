#include "libs/claims/claim_epoch_clock.h"

#include <algorithm>

namespace flamingogauge {

void ClaimEpochClock::OnRead(MonotonicTime requested_at,
                             MonotonicTime answered_at,
                             std::uint64_t epoch) {
  if (epoch_ && epoch < *epoch_) {
    return;
  }
  if (!epoch_ || epoch > *epoch_) {
    epoch_ = epoch;
    // The epoch may have begun at any time up to the response.
    first_seen_ = answered_at;
    last_seen_ = requested_at;
    return;
  }
  last_seen_ = std::max(last_seen_, requested_at);
}

std::optional<std::uint64_t> ClaimEpochClock::EpochForClaim(
    MonotonicTime now) const {
  if (!epoch_ || now - last_seen_ > options_.max_read_age) {
    return std::nullopt;
  }
  return epoch_;
}

bool ClaimEpochClock::MayAdvance(MonotonicTime now) const {
  return epoch_ && now - first_seen_ >= options_.epoch_length;
}

void ClaimEpochClock::SetRetention(std::chrono::milliseconds retention) {
  const std::chrono::milliseconds length = options_.epoch_length;
  options_.retention_epochs =
      static_cast<std::uint64_t>((retention + length).count() - 1) /
      static_cast<std::uint64_t>(length.count());
}

bool ClaimEpochClock::IsExpired(std::uint64_t claim_epoch) const {
  return epoch_ && *epoch_ > claim_epoch + options_.retention_epochs;
}

}  // namespace flamingogauge
