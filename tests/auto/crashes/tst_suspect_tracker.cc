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

// A group whose callers resend every request until it completes or is
// quarantined. Some requests crash each upstream that runs them.
class CrashingGroup {
 public:
  CrashingGroup(std::uint64_t seed, std::uint64_t killers)
      : random_(seed), killers_(killers) {}

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

  bool IsKiller(const Fingerprint& it) const { return it.low < killers_; }

  std::map<std::uint64_t, int> lost_upstreams;
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
    if (!IsKiller(ended.fingerprint)) {
      running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(n));
      tracker.OnEnded(ended.fingerprint, ended.upstream, random_.NextBool(0.9));
      return;
    }
    ++lost_upstreams[ended.fingerprint.low];
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
  std::uint64_t killers_;
  MonotonicTime now_{};
  std::vector<Flight> running_;
};

std::uint64_t SeedCount() {
  const char* text = std::getenv("CRASHES_SEEDS");
  return text == nullptr ? 200 : std::strtoull(text, nullptr, 10);
}

// Guards against a request that takes a third upstream of its group, and
// against neighbours that are quarantined with the one that crashed it.
TEST_CASE("A crashing request loses two upstreams and takes nobody with it") {
  for (std::uint64_t seed = 1; seed <= SeedCount(); ++seed) {
    INFO("seed " << seed);
    CrashingGroup group(seed, 1);
    group.Run(2000);
    CHECK(group.lost_upstreams[0] == 2);
    CHECK(group.quarantined == std::set<std::uint64_t>{0});
    // All neighbours ran again and completed.
    CHECK(group.tracker.suspect_count() <= 2);
  }
}

// Guards against several crashing requests that shield each other.
TEST_CASE("Each of several crashing requests loses at most two upstreams") {
  for (std::uint64_t seed = 1; seed <= SeedCount(); ++seed) {
    INFO("seed " << seed);
    CrashingGroup group(seed, 5);
    group.Run(4000);
    for (std::uint64_t killer = 0; killer < 5; ++killer) {
      CHECK(group.lost_upstreams[killer] <= 2);
      CHECK(group.quarantined.count(killer) == 1);
    }
  }
}

}  // namespace
}  // namespace flamingogauge
