#include "libs/fleet/change_limits.h"

#include <gflags/gflags.h>

#include <algorithm>

DEFINE_uint32(change_apply_limit_ms,
              2500,
              "maximum time until a new version of the routing document is in "
              "effect, in ms; determines how often the document is confirmed");
DEFINE_uint32(key_revocation_limit_ms,
              5000,
              "maximum time until a revoked key is rejected, in ms");

namespace flamingogauge {

using std::chrono::milliseconds;

milliseconds ChangeLimits::max_key_age() const {
  // A watch may miss changes from its last second.
  constexpr milliseconds kMargin{1200};
  return std::max(revoke - kMargin, revoke / 2);
}

milliseconds ChangeLimits::max_denial_age() const {
  constexpr milliseconds kMargin{300};
  return std::max(apply - kMargin, apply / 2);
}

milliseconds ChangeLimits::watch_wait() const {
  // Two watches without a change plus one call must fit into the smaller age.
  constexpr milliseconds kCallTime{600};
  constexpr milliseconds kMinWait{100};
  const milliseconds age = std::min(max_key_age(), max_denial_age());
  return std::max((age - kCallTime) / 2, kMinWait);
}

ChangeLimits ChangeLimitsFromFlags() {
  return {.apply = milliseconds(FLAGS_change_apply_limit_ms),
          .revoke = milliseconds(FLAGS_key_revocation_limit_ms)};
}

}  // namespace flamingogauge
