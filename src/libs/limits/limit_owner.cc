#include "libs/limits/limit_owner.h"

#include <algorithm>

namespace flamingogauge {
namespace {

// Duration of a loan. Short enough to end before the consents that back it,
// which are renewed every half second.
constexpr std::chrono::milliseconds kLoanTime{1200};

}  // namespace

void LimitOwner::OnConsent(MonotonicTime now,
                           const HostId& lender,
                           const LendingConsent& consent) {
  const MonotonicTime until = consent.query.asked_at + kLendingTime;
  if (consent.query.owner != incarnation_ || until <= now) {
    return;
  }
  ExpiringAmount& part = consents_[lender];
  if (part.until < until) {
    part = {.amount = consent.amount, .until = until};
  }
}

Loan LimitOwner::Lend(MonotonicTime now,
                      const HostId& borrower,
                      const BorrowRequest& request) {
  std::erase_if(consents_,
                [now](const auto& it) { return it.second.until <= now; });
  std::erase_if(requested_,
                [now](const auto& it) { return it.second.until <= now; });
  requested_[borrower] = {.amount = request.amount,
                          .until = now + kLendingTime};
  const MonotonicTime until = now + kLoanTime;
  // Only consents that last at least as long as the new loan, and therefore as
  // all earlier ones, can back loans.
  double pool = 0;
  for (const auto& [lender, part] : consents_) {
    pool += part.until >= until && lender != borrower ? part.amount : 0;
  }
  double lent = 0;
  double total_requested = 0;
  for (auto& [host, parts] : loans_) {
    std::erase_if(parts,
                  [now](const ExpiringAmount& it) { return it.until <= now; });
    double largest = 0;
    for (const ExpiringAmount& it : parts) {
      largest = std::max(largest, it.amount);
    }
    lent += host == borrower ? 0 : largest;
  }
  for (const auto& [host, part] : requested_) {
    total_requested += part.amount;
  }
  const double fair_share = total_requested <= pool
                                ? request.amount
                                : pool * request.amount / total_requested;
  const double amount =
      std::max(0.0, std::min({request.amount, fair_share, pool - lent}));
  if (amount > 0) {
    loans_[borrower].push_back({.amount = amount, .until = until});
  }
  return {.request = request, .amount = amount, .valid_for = kLoanTime};
}

bool LimitOwner::IsIdle(MonotonicTime now) const {
  return std::all_of(requested_.begin(), requested_.end(),
                     [now](const auto& it) {
                       return it.second.until <= now || it.second.amount <= 0;
                     });
}

}  // namespace flamingogauge
