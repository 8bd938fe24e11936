#ifndef FLAMINGOGAUGE_LIBS_LIMITS_SLOT_SHARE_H_
#define FLAMINGOGAUGE_LIBS_LIMITS_SLOT_SHARE_H_

#include <vector>

#include "libs/limits/limit_types.h"

namespace flamingogauge {

// One host's part of one limit: its own slot, what it has lent of it, and what
// it has borrowed. Whatever the other hosts believe, the allowances of all
// hosts never exceed the sum of their slots, because a host counts a part as
// lent for longer than anybody may use it.
class SlotShare {
 public:
  // `slot` is the limit divided by the number of slots. `started_at` is when
  // this incarnation began; parts of the slot may be on loan from an earlier
  // one, so that only the floor is used at first.
  SlotShare(double slot, MonotonicTime started_at)
      : slot_(slot), started_at_(started_at) {}

  // Changes the slot after a change of the document. Loans of a larger limit
  // end within kLendingTime.
  void SetSlot(double slot) { slot_ = slot; }

  // What this host may use now.
  double Allowance(MonotonicTime now) const;

  // Answers an owner's question with the amount that this host lends besides
  // what it needs itself. The consent counts from now on.
  LendingConsent Consent(MonotonicTime now,
                         const LendingQuery& query,
                         double need);

  // Returns the request to send to the limit owner.
  BorrowRequest Borrow(MonotonicTime now, double need) const;

  // Takes a loan; a late or older one has no effect.
  void OnLoan(MonotonicTime now, const Loan& loan);

 private:
  struct Commitment {
    Incarnation owner;
    double amount;
    MonotonicTime until;
  };

  // The part of the slot that owners other than `except` may have lent on; an
  // owner uses at most the largest of its consents.
  double Committed(MonotonicTime now, const Incarnation* except) const;
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
