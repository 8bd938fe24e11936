#include <doctest/doctest.h>

#include <chrono>

#include "libs/fleet/change_limits.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

struct Case {
  ChangeLimits limits;
  milliseconds key_age;
  milliseconds denial_age;
  milliseconds watch_wait;
  milliseconds relay_wait;
};

// Guards against a host that accepts a revoked key, or rejects a new route, for
// longer than the platform allows if its limits differ from the defaults.
TEST_CASE(
    "maximum ages and watch times are derived from the platform's limits") {
  const Case cases[] = {
      {{.apply = milliseconds(2500), .revoke = milliseconds(5000)},
       milliseconds(3800),
       milliseconds(2200),
       milliseconds(1040),
       milliseconds(560)},
      {{.apply = milliseconds(4000), .revoke = milliseconds(5000)},
       milliseconds(3800),
       milliseconds(3700),
       milliseconds(2015),
       milliseconds(1085)},
      {{.apply = milliseconds(2500), .revoke = milliseconds(2000)},
       milliseconds(1000),
       milliseconds(2200),
       milliseconds(260),
       milliseconds(140)},
      {{.apply = milliseconds(500), .revoke = milliseconds(1000)},
       milliseconds(500),
       milliseconds(250),
       milliseconds(130),
       milliseconds(100)},
  };
  for (const Case& it : cases) {
    CAPTURE(it.limits.apply.count());
    CHECK(it.limits.max_key_age() == it.key_age);
    CHECK(it.limits.max_denial_age() == it.denial_age);
    CHECK(it.limits.watch_wait() == it.watch_wait);
    CHECK(it.limits.relay_wait() == it.relay_wait);
    CHECK(it.limits.max_key_age() < it.limits.revoke);
    CHECK(it.limits.max_denial_age() < it.limits.apply);
  }
}

// Guards against a document that is too old just before the next confirmation
// arrives, on a host that asks the one that reads the store.
TEST_CASE("a watch and a question fit into the maximum ages") {
  for (const milliseconds apply : {milliseconds(2500), milliseconds(5000)}) {
    CAPTURE(apply.count());
    const ChangeLimits limits{.apply = apply, .revoke = milliseconds(5000)};
    const milliseconds age = limits.watch_wait() + limits.relay_wait();
    CHECK(age <= limits.normal_age());
    CHECK(age < limits.max_key_age());
    CHECK(age < limits.max_denial_age());
  }
}

}  // namespace
}  // namespace flamingogauge
