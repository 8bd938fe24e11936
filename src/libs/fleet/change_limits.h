#ifndef FLAMINGOGAUGE_LIBS_FLEET_CHANGE_LIMITS_H_
#define FLAMINGOGAUGE_LIBS_FLEET_CHANGE_LIMITS_H_

#include <chrono>

namespace flamingogauge {

// Time limits for applying a change of the routing document on all hosts, and
// the resulting maximum age of the document that a host may use.
struct ChangeLimits {
  // Maximum time from the acknowledgement of a new version until it is in
  // effect.
  std::chrono::milliseconds apply{2500};
  // Maximum time from the acknowledgement until a revoked key is rejected, also
  // on hosts that cannot reach the store.
  std::chrono::milliseconds revoke{5000};

  // The maximum age of the document at which requests that need a key are still
  // served.
  std::chrono::milliseconds max_key_age() const;
  // The maximum age of the document at which an unknown route or key is
  // rejected; with an older document, it may be a new one.
  std::chrono::milliseconds max_denial_age() const;
  // The wait time of a watch on the document by the host that reads the store,
  // and of a question to that host by the others. Together they keep the
  // document fresh enough for both maximum ages.
  std::chrono::milliseconds watch_wait() const;
  std::chrono::milliseconds relay_wait() const;
  // The age that the document reaches in normal operation.
  std::chrono::milliseconds normal_age() const;
};

// Returns the limits set by --change_apply_limit_ms and
// --key_revocation_limit_ms.
ChangeLimits ChangeLimitsFromFlags();

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_FLEET_CHANGE_LIMITS_H_
