#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_RESEND_BUDGET_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_RESEND_BUDGET_H_

#include <cstddef>
#include <deque>
#include <map>
#include <string>

#include "libs/kernel/time.h"

namespace flamingogauge {

struct ResendBudgetOptions {
  // Resends allowed per request to the same service.
  double ratio = 0.2;
  // Additional resends per window, shared by all hosts.
  double shared_allowance = 50;
  std::chrono::seconds window{10};
};

// Limits how many requests this host resends, so that all hosts together stay
// within the fleet's resend budget for a service.
class ResendBudget {
 public:
  explicit ResendBudget(ResendBudgetOptions options) : options_(options) {}

  void SetOptions(ResendBudgetOptions options) { options_ = options; }
  // The number of hosts that share the allowance; at least 1.
  void SetHostCount(std::size_t hosts) { host_count_ = hosts; }
  void OnRequest(const std::string& service, MonotonicTime now);
  // Consumes one resend; returns false if the budget is exhausted.
  bool TryResend(const std::string& service, MonotonicTime now);

 private:
  struct Usage {
    std::deque<MonotonicTime> requests;
    std::deque<MonotonicTime> resends;
  };

  ResendBudgetOptions options_;
  std::size_t host_count_ = 1;
  std::map<std::string, Usage> usage_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_RESEND_BUDGET_H_
