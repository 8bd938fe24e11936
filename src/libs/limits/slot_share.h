#ifndef FLAMINGOGAUGE_LIBS_LIMITS_SLOT_SHARE_H_
#define FLAMINGOGAUGE_LIBS_LIMITS_SLOT_SHARE_H_

#include <vector>

#include "libs/limits/limit_types.h"

namespace flamingogauge {

// One host's share of a limit: its own slot, minus the amounts lent, plus the
// amount borrowed. The allowances of all hosts never exceed the sum of their
// slots, regardless of the state of other hosts, because a lender counts an
// amount as lent for longer than any borrower may use it.
class SlotShare {
 public:
  // `slot` is the limit divided by the number of slots. `started_at` is the
  // start of this incarnation. The previous one may have lent parts of the
  // slot, so only the fraction that is never lent is used at first.
  SlotShare(double slot, MonotonicTime started_at)
      : slot_(slot), started_at_(started_at) {}

  // Sets the slot size after a change of the document. Loans made under a
  // larger limit expire within kLendingTime.
  void SetSlot(double slot) { slot_ = slot; }

  // Returns the amount that this host may use at `now`.
  double Allowance(MonotonicTime now) const;

  // Answers an owner's query with the amount that this host can lend after its
  // own need. The amount counts as lent from `now` on.
  LendingConsent Consent(MonotonicTime now,
                         const LendingQuery& query,
                         double need);

  // Returns the request to send to the limit owner.
  BorrowRequest Borrow(MonotonicTime now, double need) const;

  // Applies a loan. Expired loans and loans older than the current one are
  // ignored.
  void OnLoan(MonotonicTime now, const Loan& loan);

 private:
  struct Commitment {
    Incarnation owner;
    double amount;
    MonotonicTime until;
  };

  // The part of the slot that owners other than `excluded_owner` may have lent;
  // an owner uses at most the largest of its consents.
  double Committed(MonotonicTime now, const Incarnation* excluded_owner) const;
  bool IsSettled(MonotonicTime now) const;

  double slot_;
  MonotonicTime started_at_;
  std::vector<Commitment> commitments_;
  double loan_ = 0;
  MonotonicTime loan_sent_at_;
  MonotonicTime loan_until_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_LIMITS_SLOT_SHARE_H_
