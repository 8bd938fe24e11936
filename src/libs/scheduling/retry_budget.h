#ifndef FLAMINGOGAUGE_LIBS_SCHEDULING_RETRY_BUDGET_H_
#define FLAMINGOGAUGE_LIBS_SCHEDULING_RETRY_BUDGET_H_

#include <algorithm>

namespace flamingogauge {

// Limits retries to a fraction of the first attempts.
class RetryBudget {
 public:
  // Credits available before any first attempt, and the upper bound of credits.
  static constexpr double kInitialCredits = 3;
  static constexpr double kMaxCredits = 20;

  void SetFraction(double fraction) { fraction_ = fraction; }
  void OnFirstAttempt() {
    credits_ = std::min(kMaxCredits, credits_ + fraction_);
  }
  // Uses one credit. Returns false if the budget is exhausted.
  bool TryRetry() {
    if (credits_ < 1) {
      return false;
    }
    credits_ -= 1;
    return true;
  }

 private:
  double fraction_ = 0.1;
  double credits_ = kInitialCredits;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_SCHEDULING_RETRY_BUDGET_H_
