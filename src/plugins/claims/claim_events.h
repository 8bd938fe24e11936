#ifndef FLAMINGOGAUGE_PLUGINS_CLAIMS_CLAIM_EVENTS_H_
#define FLAMINGOGAUGE_PLUGINS_CLAIMS_CLAIM_EVENTS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libs/claims/claim_attempt.h"
#include "libs/document/document.h"
#include "libs/kernel/bounded_ring.h"
#include "libs/kernel/time.h"
#include "libs/services/claim_service.h"
#include "libs/services/object_store.h"

namespace flamingogauge {

// Events that other threads post to the claims thread.

struct AcquireEvent {
  ClaimRequest request;
  ClaimService::AcquireCallback callback;
};
struct AbandonEvent {
  RequestId id;
};
struct ReleaseEvent {
  RequestId id;
  ClaimService::ReleaseCallback callback;
};
struct RecordEvent {
  RequestId id;
  RecordedOutcome outcome;
};
struct LeaveUnresolvedEvent {
  RequestId id;
};
struct WrittenEvent {
  RequestId id;
  StoreWriteResult result;
  std::uint64_t version;
};
struct ReadEvent {
  RequestId id;
  ClaimReadResult result;
  std::optional<VersionedClaim> claim;
};
// The epoch object was read, created or advanced.
struct EpochEvent {
  MonotonicTime requested_at;
  Result<StoredObject> object;
};
struct DocumentEvent {
  std::shared_ptr<const Document> document;
};
// Results of the store calls of the sweep.
struct SweepListedEvent {
  std::vector<std::string> keys;
};
struct SweepReadEvent {
  std::uint64_t version;
  std::optional<std::uint64_t> epoch;
};
struct SweepDeletedEvent {
  bool deleted;
};
struct ClaimDrainEvent {
  std::function<void()> done;
};

using ClaimEvent = std::variant<AcquireEvent,
                                AbandonEvent,
                                ReleaseEvent,
                                RecordEvent,
                                LeaveUnresolvedEvent,
                                WrittenEvent,
                                ReadEvent,
                                EpochEvent,
                                DocumentEvent,
                                SweepListedEvent,
                                SweepReadEvent,
                                SweepDeletedEvent,
                                ClaimDrainEvent>;

using ClaimEventRing = BoundedRing<ClaimEvent>;

// Pushes an event. The ring must have room for it: if it is full, the result of
// a store call would be lost, which violates I5.
void PostClaimEvent(ClaimEventRing& ring, ClaimEvent event);

// Returns the key of the claim object of a request, which contains a hash of
// workspace, service and idempotency key.
std::string ClaimKey(const ClaimRequest& request);

// Converts the result of reading a claim object into an event.
ReadEvent ToReadEvent(RequestId id, const Result<StoredObject>& result);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_CLAIMS_CLAIM_EVENTS_H_
