#ifndef FLAMINGOGAUGE_LIBS_SCHEDULING_DRAIN_ESTIMATOR_H_
#define FLAMINGOGAUGE_LIBS_SCHEDULING_DRAIN_ESTIMATOR_H_

#include <algorithm>
#include <array>
#include <cmath>

#include "libs/kernel/time.h"
#include "libs/model/permit.h"

namespace flamingogauge {

// Estimates how long a waiting request of a tier waits, from the tokens that
// are granted while requests wait and the tokens that arrive in more urgent
// tiers.
class DrainEstimator {
 public:
  void OnArrival(Tier tier, double tokens) { arrived_[tier] += tokens; }
  void OnGrant(double tokens) { granted_ += tokens; }

  // Closes a measuring interval when it is long enough.
  void Advance(MonotonicTime now, bool requests_wait) {
    const double elapsed = std::chrono::duration<double>(now - since_).count();
    saturated_ = saturated_ && requests_wait;
    if (elapsed < kInterval) {
      return;
    }
    const double blend = 1 - std::exp(-std::min(elapsed, 5.0) / kSmoothing);
    const double arrival_blend =
        1 - std::exp(-std::min(elapsed, 5.0) / kArrivalSmoothing);
    for (std::size_t tier = 0; tier < kMaxTiers; ++tier) {
      arrival_rate_[tier] +=
          arrival_blend * (arrived_[tier] / elapsed - arrival_rate_[tier]);
      arrived_[tier] = 0;
    }
    // Grants tell the capacity only while there was always something to grant.
    if (saturated_ && first_done_) {
      drain_rate_ =
          drain_rate_ == 0
              ? granted_ / elapsed
              : drain_rate_ + blend * (granted_ / elapsed - drain_rate_);
    }
    granted_ = 0;
    since_ = now;
    saturated_ = requests_wait;
    first_done_ = true;
  }

  // Seconds until `tokens_ahead` are granted to a request of `tier`; 0 while
  // the capacity was never reached.
  double ExpectedWait(Tier tier, double tokens_ahead) const {
    if (drain_rate_ <= 0) {
      return 0;
    }
    double rate = drain_rate_;
    for (std::size_t it = 0; it < tier; ++it) {
      rate -= arrival_rate_[it];
    }
    return tokens_ahead / std::max(rate, kLeastPart * drain_rate_);
  }

 private:
  // Length of a measuring interval and time constant of the average, in
  // seconds: several requests a group, and quicker than a burst.
  static constexpr double kInterval = 1.0;
  static constexpr double kSmoothing = 20.0;
  static constexpr double kArrivalSmoothing = 60.0;
  // A tier is expected to get at least this part of the capacity.
  static constexpr double kLeastPart = 0.1;

  std::array<double, kMaxTiers> arrived_{};
  std::array<double, kMaxTiers> arrival_rate_{};
  double granted_ = 0;
  double drain_rate_ = 0;
  MonotonicTime since_;
  bool saturated_ = false;
  bool first_done_ = false;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_SCHEDULING_DRAIN_ESTIMATOR_H_
