#ifndef FLAMINGOGAUGE_LIBS_LIMITS_LIMIT_TYPES_H_
#define FLAMINGOGAUGE_LIBS_LIMITS_LIMIT_TYPES_H_

#include <chrono>

#include "libs/kernel/time.h"
#include "libs/model/ids.h"

namespace flamingogauge {

// How long a part of a slot is lent, measured by the owner and the borrower
// from their own earlier messages.
inline constexpr std::chrono::milliseconds kLendingTime{2000};

// Added by the lender, and by a new incarnation, for clocks of different pace.
inline constexpr std::chrono::milliseconds kLendingMargin{500};

// The part of its slot that a host never lends.
inline constexpr double kLendingFloor = 0.2;

// The limit owner asks a host for its consent. `asked_at` is on the owner's
// clock and comes back with the consent.
struct LendingQuery {
  Incarnation owner;
  MonotonicTime asked_at;
};

// A host lends an amount until kLendingTime after `query.asked_at`.
struct LendingConsent {
  LendingQuery query;
  double amount = 0;
};

// A host asks the limit owner for an amount. `sent_at` is on the host's clock
// and comes back with the loan.
struct BorrowRequest {
  MonotonicTime sent_at;
  double amount = 0;
};

// The limit owner gives an amount until `valid_for` after `request.sent_at`.
struct Loan {
  BorrowRequest request;
  double amount = 0;
  Duration valid_for{0};
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_LIMITS_LIMIT_TYPES_H_
