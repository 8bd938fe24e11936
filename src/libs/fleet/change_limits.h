#ifndef FLAMINGOGAUGE_LIBS_FLEET_CHANGE_LIMITS_H_
#define FLAMINGOGAUGE_LIBS_FLEET_CHANGE_LIMITS_H_

#include <chrono>

namespace flamingogauge {

// How soon a change of the routing document must be in force on each host, and
// what follows from it for the age of the document that a host works with.
struct ChangeLimits {
  // From the acknowledgement of a new version until it is in force.
  std::chrono::milliseconds apply{2500};
  // From the acknowledgement until a key that was taken away stops working,
  // also on hosts that the store does not reach.
  std::chrono::milliseconds revoke{5000};

  // The greatest age of a document with which requests that need a key are
  // served.
  std::chrono::milliseconds max_key_age() const;
  // With an older document, an unknown route or key may be a new one.
  std::chrono::milliseconds max_denial_age() const;
  // How long a watch of the document waits, so that it stays fresh enough for
  // both.
  std::chrono::milliseconds watch_wait() const;
};

// Reads the flags --change_apply_limit_ms and --key_revocation_limit_ms.
ChangeLimits ChangeLimitsFromFlags();

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_FLEET_CHANGE_LIMITS_H_
