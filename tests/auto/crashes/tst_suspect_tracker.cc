#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "libs/crashes/suspect_tracker.h"
#include "libs/kernel/random.h"

namespace flamingogauge {
namespace {

// Simulates a group whose callers resend every request until it completes or is
// quarantined. Some requests crash every upstream that runs them.
class CrashingGroup {
 public:
  CrashingGroup(std::uint64_t seed, std::uint64_t crashing_count)
      : random_(seed), crashing_count_(crashing_count) {}

  void Run(int steps) {
    for (int step = 0; step < steps; ++step) {
      now_ += std::chrono::milliseconds(100);
      if (random_.NextBool(0.6)) {
        Dispatch({.high = 0, .low = random_.NextBelow(kFingerprints)});
      }
      if (!running_.empty() && random_.NextBool(0.6)) {
        EndOne();
      }
    }
    while (!running_.empty()) {
      EndOne();
    }
  }

  bool IsCrashing(const Fingerprint& it) const {
    return it.low < crashing_count_;
  }

  std::map<std::uint64_t, int> crashed_upstreams;
  std::set<std::uint64_t> quarantined;
  SuspectTracker tracker{{}};

 private:
  static constexpr std::uint64_t kFingerprints = 60;
  static constexpr std::uint64_t kUpstreams = 6;
  struct Flight {
    Fingerprint fingerprint;
    UpstreamId upstream;
  };

  void Dispatch(const Fingerprint& fingerprint) {
    const UpstreamId upstream =
        "u" + std::to_string(random_.NextBelow(kUpstreams));
    if (quarantined.count(fingerprint.low) == 0 &&
        tracker.MayDispatch(fingerprint, upstream)) {
      tracker.OnDispatched(fingerprint, upstream);
      running_.push_back({fingerprint, upstream});
    }
  }

  void EndOne() {
    const std::size_t n = random_.NextBelow(running_.size());
    const Flight ended = running_[n];
    if (!IsCrashing(ended.fingerprint)) {
      running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(n));
      tracker.OnEnded(ended.fingerprint, ended.upstream, random_.NextBool(0.9));
      return;
    }
    ++crashed_upstreams[ended.fingerprint.low];
    std::erase_if(running_, [&ended](const Flight& it) {
      return it.upstream == ended.upstream;
    });
    for (const Fingerprint& it : tracker.OnCrashed(ended.upstream, now_)) {
      quarantined.insert(it.low);
    }
    // Other hosts report the same crash again.
    CHECK(tracker.OnCrashed(ended.upstream, now_).empty());
  }

  Random random_;
  std::uint64_t crashing_count_;
  MonotonicTime now_{};
  std::vector<Flight> running_;
};

std::uint64_t SeedCount() {
  const char* text = std::getenv("CRASHES_SEEDS");
  return text == nullptr ? 200 : std::strtoull(text, nullptr, 10);
}

// Guards against a request that crashes a third upstream of its group, and
// against quarantining other requests that ran on a crashed upstream.
TEST_CASE("A crashing request crashes two upstreams and is quarantined alone") {
  for (std::uint64_t seed = 1; seed <= SeedCount(); ++seed) {
    INFO("seed " << seed);
    CrashingGroup group(seed, 1);
    group.Run(2000);
    CHECK(group.crashed_upstreams[0] == 2);
    CHECK(group.quarantined == std::set<std::uint64_t>{0});
    // The other requests ran again and completed.
    CHECK(group.tracker.suspect_count() <= 2);
  }
}

// Guards against crashing requests that keep each other from being detected.
TEST_CASE("Each of several crashing requests crashes at most two upstreams") {
  for (std::uint64_t seed = 1; seed <= SeedCount(); ++seed) {
    INFO("seed " << seed);
    CrashingGroup group(seed, 5);
    group.Run(4000);
    for (std::uint64_t crashing = 0; crashing < 5; ++crashing) {
      CHECK(group.crashed_upstreams[crashing] <= 2);
      CHECK(group.quarantined.count(crashing) == 1);
    }
  }
}

}  // namespace
}  // namespace flamingogauge
