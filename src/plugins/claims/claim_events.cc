#include "plugins/claims/claim_events.h"

#include <utility>

#include "libs/digest/sha256.h"
#include "libs/kernel/check.h"
#include "plugins/claims/claim_record_json.h"

namespace flamingogauge {

void PostClaimEvent(ClaimEventRing& ring, ClaimEvent event) {
  const bool pushed = ring.TryPush(std::move(event));
  CHECK_INVARIANT("I5", pushed || ring.IsClosed(),
                  std::string("post claim event: the ring is full"));
}

// Hashes the parts with their lengths, so that different combinations of
// workspace, service and key cannot give the same text.
std::string ClaimKey(const ClaimRequest& request) {
  std::string text;
  for (const std::string& it :
       {request.workspace, request.service, request.idempotency_key}) {
    text += std::to_string(it.size()) + ":" + it;
  }
  return "claims/" + Sha256Hex(text);
}

ReadEvent ToReadEvent(RequestId id, const Result<StoredObject>& result) {
  if (!result) {
    const bool is_absent = result.error().code == ErrorCode::kNotFound;
    return {.id = id,
            .result = is_absent ? ClaimReadResult::kAbsent
                                : ClaimReadResult::kUnavailable};
  }
  std::optional<ClaimRecord> record = ClaimRecordFromJson(result.value().value);
  if (!record) {
    return {.id = id, .result = ClaimReadResult::kUnavailable};
  }
  return {.id = id,
          .result = ClaimReadResult::kFound,
          .claim = VersionedClaim{.record = std::move(*record),
                                  .version = result.value().version}};
}

}  // namespace flamingogauge
