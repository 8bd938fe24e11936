#include "libs/limits/limit_owner.h"

#include <algorithm>

namespace flamingogauge {
namespace {

// A loan lasts at most this long, so that it fits into the rest of consents
// that are renewed every half second.
constexpr std::chrono::milliseconds kLoanTime{1200};

}  // namespace

void LimitOwner::OnConsent(MonotonicTime now,
                           const HostId& lender,
                           const LendingConsent& consent) {
  const MonotonicTime until = consent.query.asked_at + kLendingTime;
  if (consent.query.owner != incarnation_ || until <= now) {
    return;
  }
  Part& part = consents_[lender];
  if (part.until < until) {
    part = {.amount = consent.amount, .until = until};
  }
}

Loan LimitOwner::Lend(MonotonicTime now,
                      const HostId& borrower,
                      const BorrowRequest& request) {
  std::erase_if(consents_,
                [now](const auto& it) { return it.second.until <= now; });
  std::erase_if(wanted_,
                [now](const auto& it) { return it.second.until <= now; });
  wanted_[borrower] = {.amount = request.amount, .until = now + kLendingTime};
  const MonotonicTime until = now + kLoanTime;
  // Only consents that outlast all loans back them.
  double pool = 0;
  for (const auto& [lender, part] : consents_) {
    pool += part.until >= until && lender != borrower ? part.amount : 0;
  }
  double lent = 0;
  double wanted = 0;
  for (auto& [host, parts] : loans_) {
    std::erase_if(parts, [now](const Part& it) { return it.until <= now; });
    double largest = 0;
    for (const Part& it : parts) {
      largest = std::max(largest, it.amount);
    }
    lent += host == borrower ? 0 : largest;
  }
  for (const auto& [host, part] : wanted_) {
    wanted += part.amount;
  }
  const double fair =
      wanted <= pool ? request.amount : pool * request.amount / wanted;
  const double amount =
      std::max(0.0, std::min({request.amount, fair, pool - lent}));
  if (amount > 0) {
    loans_[borrower].push_back({.amount = amount, .until = until});
  }
  return {.request = request, .amount = amount, .valid_for = kLoanTime};
}

bool LimitOwner::IsIdle(MonotonicTime now) const {
  return std::all_of(wanted_.begin(), wanted_.end(), [now](const auto& it) {
    return it.second.until <= now || it.second.amount <= 0;
  });
}

}  // namespace flamingogauge
