#ifndef FLAMINGOGAUGE_LIBS_LIMITS_RATE_BUCKET_H_
#define FLAMINGOGAUGE_LIBS_LIMITS_RATE_BUCKET_H_

#include <algorithm>

#include "libs/kernel/time.h"

namespace flamingogauge {

// Spends a rate that changes over time. Credits for one second of the rate can
// be saved; a debt stops further spending until it is paid.
class RateBucket {
 public:
  // Adds what `rate`, in units a second, has earned since the last call.
  void Refill(MonotonicTime now, double rate) {
    const double elapsed =
        std::chrono::duration<double>(now - refilled_at_).count();
    credits_ = is_new_
                   ? rate
                   : std::min(rate, credits_ + rate * std::max(0.0, elapsed));
    is_new_ = false;
    refilled_at_ = now;
  }

  // Returns false when there are no credits; an amount may go into debt, so
  // that one larger than a second's credits is possible at all.
  bool TrySpend(double amount) {
    if (credits_ <= 0) {
      return false;
    }
    credits_ -= amount;
    return true;
  }

  // Corrects an estimate when the true amount is known.
  void Adjust(double difference) { credits_ -= difference; }

  double credits() const { return credits_; }

 private:
  double credits_ = 0;
  MonotonicTime refilled_at_;
  bool is_new_ = true;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_LIMITS_RATE_BUCKET_H_
