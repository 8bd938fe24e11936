#include "libs/dispatching/resend_budget.h"

#include <algorithm>

namespace flamingogauge {
namespace {

// The fraction of the budget that a host uses. The rest is a reserve, because
// the windows of other hosts are not aligned with this host's window.
constexpr double kUsedFraction = 0.5;

void RemoveExpired(std::deque<MonotonicTime>& times, MonotonicTime before) {
  while (!times.empty() && times.front() < before) {
    times.pop_front();
  }
}

}  // namespace

void ResendBudget::OnRequest(const std::string& service, MonotonicTime now) {
  Usage& usage = usage_[service];
  usage.requests.push_back(now);
  RemoveExpired(usage.requests, now - options_.window);
}

bool ResendBudget::TryResend(const std::string& service, MonotonicTime now) {
  Usage& usage = usage_[service];
  RemoveExpired(usage.requests, now - options_.window);
  RemoveExpired(usage.resends, now - options_.window);
  const double allowed =
      kUsedFraction *
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
