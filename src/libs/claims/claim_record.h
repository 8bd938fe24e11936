#ifndef FLAMINGOGAUGE_LIBS_CLAIMS_CLAIM_RECORD_H_
#define FLAMINGOGAUGE_LIBS_CLAIMS_CLAIM_RECORD_H_

#include <compare>
#include <cstdint>
#include <optional>

#include "libs/model/fingerprint.h"
#include "libs/model/ids.h"
#include "libs/services/claim_service.h"

namespace flamingogauge {

enum class ClaimState {
  kClaimed,   // the owner may dispatch the request, or has done so
  kReleased,  // the owner executed nothing; the key may be claimed again
  kDone,      // the owner's request was executed and has an outcome
};

// 128 random bits that an attempt writes to the store, by which it recognises
// its own write when the response to the write was lost.
struct ClaimToken {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const ClaimToken&) const = default;
};

// The value of a claim object in the platform's store.
struct ClaimRecord {
  ClaimState state = ClaimState::kClaimed;
  ClaimToken token;
  Incarnation owner;
  Fingerprint fingerprint;
  // The epoch of the claim, in which its retention starts.
  std::uint64_t epoch = 0;
  // For kDone only.
  RecordedOutcome outcome;
};

// A claim record and its version, as read from the store.
struct VersionedClaim {
  ClaimRecord record;
  std::uint64_t version = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_CLAIMS_CLAIM_RECORD_H_
