#include "libs/limits/slot_share.h"

#include <algorithm>

namespace flamingogauge {

bool SlotShare::IsSettled(MonotonicTime now) const {
  return now - started_at_ >= kLendingTime + kLendingMargin;
}

double SlotShare::Committed(MonotonicTime now,
                            const Incarnation* excluded_owner) const {
  double total = 0;
  for (std::size_t it = 0; it < commitments_.size(); ++it) {
    const Commitment& commitment = commitments_[it];
    if (commitment.until <= now ||
        (excluded_owner != nullptr && commitment.owner == *excluded_owner)) {
      continue;
    }
    // Only the largest commitment of each owner counts; the first one if
    // several are equal.
    const bool is_largest = std::none_of(
        commitments_.begin(), commitments_.end(), [&](const Commitment& other) {
          return other.owner == commitment.owner && other.until > now &&
                 (other.amount > commitment.amount ||
                  (other.amount == commitment.amount && &other < &commitment));
        });
    total += is_largest ? commitment.amount : 0;
  }
  return total;
}

double SlotShare::Allowance(MonotonicTime now) const {
  const double own =
      IsSettled(now) ? slot_ - Committed(now, nullptr) : kLendingFloor * slot_;
  return std::max(0.0, own) + (now < loan_until_ ? loan_ : 0);
}

LendingConsent SlotShare::Consent(MonotonicTime now,
                                  const LendingQuery& query,
                                  double need) {
  std::erase_if(commitments_,
                [now](const Commitment& it) { return it.until <= now; });
  const double lendable = (1 - kLendingFloor) * slot_;
  double amount = 0;
  if (IsSettled(now)) {
    amount = std::clamp(slot_ - need, 0.0,
                        std::max(0.0, lendable - Committed(now, &query.owner)));
  }
  if (amount > 0) {
    commitments_.push_back({.owner = query.owner,
                            .amount = amount,
                            .until = now + kLendingTime + kLendingMargin});
  }
  return {.query = query, .amount = amount};
}

BorrowRequest SlotShare::Borrow(MonotonicTime now, double need) const {
  const double own =
      IsSettled(now) ? slot_ - Committed(now, nullptr) : kLendingFloor * slot_;
  return {.sent_at = now, .amount = std::max(0.0, need - std::max(0.0, own))};
}

void SlotShare::OnLoan(MonotonicTime now, const Loan& loan) {
  const MonotonicTime until = loan.request.sent_at + loan.valid_for;
  if (loan.request.sent_at <= loan_sent_at_ || until <= now) {
    return;
  }
  loan_ = loan.amount;
  loan_sent_at_ = loan.request.sent_at;
  loan_until_ = until;
}

}  // namespace flamingogauge
