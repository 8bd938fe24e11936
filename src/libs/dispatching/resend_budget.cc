#include "libs/dispatching/resend_budget.h"

#include <algorithm>

namespace flamingogauge {
namespace {

// The part of the budget that is used; the rest covers windows of other hosts
// that begin at other moments.
constexpr double kUsedPart = 0.5;

void Forget(std::deque<MonotonicTime>& times, MonotonicTime before) {
  while (!times.empty() && times.front() < before) {
    times.pop_front();
  }
}

}  // namespace

void ResendBudget::OnRequest(const std::string& service, MonotonicTime now) {
  Usage& usage = usage_[service];
  usage.requests.push_back(now);
  Forget(usage.requests, now - options_.window);
}

bool ResendBudget::TryResend(const std::string& service, MonotonicTime now) {
  Usage& usage = usage_[service];
  Forget(usage.requests, now - options_.window);
  Forget(usage.resends, now - options_.window);
  const double allowed =
      kUsedPart *
      (options_.ratio * static_cast<double>(usage.requests.size()) +
       options_.shared_allowance /
           static_cast<double>(std::max<std::size_t>(1, host_count_)));
  if (static_cast<double>(usage.resends.size()) + 1 > allowed) {
    return false;
  }
  usage.resends.push_back(now);
  return true;
}

}  // namespace flamingogauge
