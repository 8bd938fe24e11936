#include "libs/fleet/change_limits.h"

#include <gflags/gflags.h>

#include <algorithm>

DEFINE_uint32(change_apply_limit_ms,
              2500,
              "within this time a new version of the routing document must be "
              "in force, in ms; decides how often the document is confirmed");
DEFINE_uint32(key_revocation_limit_ms,
              5000,
              "within this time a key that was taken away must stop working, "
              "in ms");

namespace flamingogauge {

using std::chrono::milliseconds;

milliseconds ChangeLimits::max_key_age() const {
  // A watch may miss the changes of its last second.
  constexpr milliseconds kMargin{1200};
  return std::max(revoke - kMargin, revoke / 2);
}

milliseconds ChangeLimits::max_denial_age() const {
  constexpr milliseconds kMargin{300};
  return std::max(apply - kMargin, apply / 2);
}

milliseconds ChangeLimits::watch_wait() const {
  // Two watches without a change, and a call, take up the shorter age.
  constexpr milliseconds kCallTime{600};
  constexpr milliseconds kShortest{100};
  const milliseconds age = std::min(max_key_age(), max_denial_age());
  return std::max((age - kCallTime) / 2, kShortest);
}

ChangeLimits ChangeLimitsFromFlags() {
  return {.apply = milliseconds(FLAGS_change_apply_limit_ms),
          .revoke = milliseconds(FLAGS_key_revocation_limit_ms)};
}

}  // namespace flamingogauge
