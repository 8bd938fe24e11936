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

namespace {

constexpr milliseconds kMinWait{100};
// The share of the normal age that the watch takes, in percent. Calls to the
// store cost more than questions to a host.
constexpr int kWatchShare = 65;

}  // namespace

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
  return std::max(normal_age() * kWatchShare / 100, kMinWait);
}

milliseconds ChangeLimits::relay_wait() const {
  return std::max(normal_age() * (100 - kWatchShare) / 100, kMinWait);
}

milliseconds ChangeLimits::normal_age() const {
  // Time for the calls themselves and for one that has to be repeated.
  constexpr milliseconds kCallTime{600};
  return std::max(std::min(max_key_age(), max_denial_age()) - kCallTime,
                  2 * kMinWait);
}

ChangeLimits ChangeLimitsFromFlags() {
  return {.apply = milliseconds(FLAGS_change_apply_limit_ms),
          .revoke = milliseconds(FLAGS_key_revocation_limit_ms)};
}

}  // namespace flamingogauge
