#ifndef FLAMINGOGAUGE_LIBS_LIMITS_RATE_BUCKET_H_
#define FLAMINGOGAUGE_LIBS_LIMITS_RATE_BUCKET_H_

#include <algorithm>

#include "libs/kernel/time.h"

namespace flamingogauge {

// Token bucket with a rate that may change over time. Holds at most one
// second's worth of credits; while the balance is not positive, nothing can be
// spent.
class RateBucket {
 public:
  // Adds the credits earned since the last call at `rate` units per second.
  void Refill(MonotonicTime now, double rate) {
    const double elapsed =
        std::chrono::duration<double>(now - refilled_at_).count();
    credits_ = is_new_
                   ? rate
                   : std::min(rate, credits_ + rate * std::max(0.0, elapsed));
    is_new_ = false;
    refilled_at_ = now;
  }

  // Returns false if there are no credits. The balance may become negative, so
  // that an amount larger than one second's credits can be spent at all.
  bool TrySpend(double amount) {
    if (credits_ <= 0) {
      return false;
    }
    credits_ -= amount;
    return true;
  }

  // Spends the difference between the actual and the estimated amount.
  void Adjust(double difference) { credits_ -= difference; }

  double credits() const { return credits_; }

 private:
  double credits_ = 0;
  MonotonicTime refilled_at_;
  bool is_new_ = true;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_LIMITS_RATE_BUCKET_H_
