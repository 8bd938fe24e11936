#ifndef FLAMINGOGAUGE_LIBS_SCHEDULING_QUEUE_WAIT_ESTIMATOR_H_
#define FLAMINGOGAUGE_LIBS_SCHEDULING_QUEUE_WAIT_ESTIMATOR_H_

#include <algorithm>
#include <array>
#include <cmath>

#include "libs/kernel/time.h"
#include "libs/model/permit.h"

namespace flamingogauge {

// Estimates how long a request of a tier waits in the queue. The drain rate is
// the rate of granted tokens while the queue is not empty; tokens that arrive
// in more urgent tiers are subtracted from it.
class QueueWaitEstimator {
 public:
  void OnArrival(Tier tier, double tokens) { arrived_[tier] += tokens; }
  void OnGrant(double tokens) { granted_ += tokens; }

  // Updates the rates at the end of each measuring interval.
  void Advance(MonotonicTime now, bool requests_wait) {
    const double elapsed = std::chrono::duration<double>(now - since_).count();
    saturated_ = saturated_ && requests_wait;
    if (elapsed < kMeasuringInterval) {
      return;
    }
    const double blend =
        1 - std::exp(-std::min(elapsed, kMaxBlendInterval) / kSmoothing);
    const double arrival_blend =
        1 - std::exp(-std::min(elapsed, kMaxBlendInterval) / kArrivalSmoothing);
    for (std::size_t tier = 0; tier < kMaxTiers; ++tier) {
      arrival_rate_[tier] +=
          arrival_blend * (arrived_[tier] / elapsed - arrival_rate_[tier]);
      arrived_[tier] = 0;
    }
    // The granted tokens measure the capacity only if requests were waiting
    // during the whole interval.
    if (saturated_ && has_interval_) {
      drain_rate_ =
          drain_rate_ == 0
              ? granted_ / elapsed
              : drain_rate_ + blend * (granted_ / elapsed - drain_rate_);
    }
    granted_ = 0;
    since_ = now;
    saturated_ = requests_wait;
    has_interval_ = true;
  }

  // Returns the expected seconds until `tokens_ahead` tokens have been granted,
  // as seen by a request of `tier`. Returns 0 while the drain rate is unknown
  // because the group has not been saturated yet.
  double ExpectedWait(Tier tier, double tokens_ahead) const {
    if (drain_rate_ <= 0) {
      return 0;
    }
    double rate = drain_rate_;
    for (std::size_t it = 0; it < tier; ++it) {
      rate -= arrival_rate_[it];
    }
    return tokens_ahead / std::max(rate, kMinCapacityFraction * drain_rate_);
  }

 private:
  // Minimum length of a measuring interval and time constants of the moving
  // averages, in seconds. An interval covers several requests of a group and is
  // shorter than a burst.
  static constexpr double kMeasuringInterval = 1.0;
  static constexpr double kSmoothing = 20.0;
  static constexpr double kArrivalSmoothing = 60.0;
  // An interval longer than this number of seconds has no more weight in the
  // averages than one of this length.
  static constexpr double kMaxBlendInterval = 5.0;
  // Lower bound of the capacity that is left to a tier, as a fraction of the
  // drain rate.
  static constexpr double kMinCapacityFraction = 0.1;

  std::array<double, kMaxTiers> arrived_{};
  std::array<double, kMaxTiers> arrival_rate_{};
  double granted_ = 0;
  double drain_rate_ = 0;
  MonotonicTime since_;
  bool saturated_ = false;
  bool has_interval_ = false;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_SCHEDULING_QUEUE_WAIT_ESTIMATOR_H_
