#include <doctest/doctest.h>

#include <cstdint>
#include <cstdlib>
#include <string>

#include "tests/auto/claims/claims_simulation.h"

namespace flamingogauge {
namespace {

// Reads a number from an environment variable. FLAMINGOGAUGE_SEEDS is the
// number of seeds, FLAMINGOGAUGE_SEED the first one.
std::uint64_t FromEnvironment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

// Guards against a second execution, a wrong "not run" and a wrong recorded
// response under lost responses, late writes, outages, pauses, crashes and
// resends.
TEST_CASE("Claims keep their guarantees under random faults") {
  const std::uint64_t first = FromEnvironment("FLAMINGOGAUGE_SEED", 1);
  const std::uint64_t seeds = FromEnvironment("FLAMINGOGAUGE_SEEDS", 100);
  constexpr std::uint64_t kEventsPerSeed = 10000;
  ClaimsRunResult total;
  for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
    CAPTURE(seed);
    const ClaimsRunResult result = ClaimsSimulation(seed).Run(kEventsPerSeed);
    for (const std::string& it : result.violations) {
      FAIL_CHECK(it);
    }
    total.events += result.events;
    total.executions += result.executions;
    total.not_run_answers += result.not_run_answers;
    total.recorded_answers += result.recorded_answers;
    total.unknown_answers += result.unknown_answers;
  }
  MESSAGE("claims: seeds " << first << " to " << first + seeds - 1 << ", "
                           << total.events << " events, " << total.executions
                           << " executions, " << total.not_run_answers
                           << " not run, " << total.recorded_answers
                           << " recorded, " << total.unknown_answers
                           << " refused");
  // The test is meaningful only if each kind of response has occurred.
  CHECK(total.executions > seeds);
  CHECK(total.not_run_answers > seeds);
  CHECK(total.recorded_answers > seeds);
  CHECK(total.unknown_answers > seeds);
}

}  // namespace
}  // namespace flamingogauge
