#ifndef FLAMINGOGAUGE_LIBS_LIMITS_LIMIT_TYPES_H_
#define FLAMINGOGAUGE_LIBS_LIMITS_LIMIT_TYPES_H_

#include <chrono>

#include "libs/kernel/time.h"
#include "libs/model/ids.h"

namespace flamingogauge {

// How long a part of a slot is lent. The owner measures it from the time of its
// query, the borrower from the time of its request.
inline constexpr std::chrono::milliseconds kLendingTime{2000};

// Margin for clock drift, added by the lender and by a new incarnation.
inline constexpr std::chrono::milliseconds kLendingMargin{500};

// The fraction of its slot that a host never lends.
inline constexpr double kLendingFloor = 0.2;

// Query of the limit owner for the amount that a host can lend. `asked_at` is
// in the owner's clock and is echoed in the consent.
struct LendingQuery {
  Incarnation owner;
  MonotonicTime asked_at;
};

// Response of a host, which lends `amount` until kLendingTime after
// `query.asked_at`.
struct LendingConsent {
  LendingQuery query;
  double amount = 0;
};

// Request of a host to borrow `amount` from the limit owner. `sent_at` is in
// the host's clock and is echoed in the loan.
struct BorrowRequest {
  MonotonicTime sent_at;
  double amount = 0;
};

// Response of the limit owner, which grants `amount` until `valid_for` after
// `request.sent_at`.
struct Loan {
  BorrowRequest request;
  double amount = 0;
  Duration valid_for{0};
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_LIMITS_LIMIT_TYPES_H_
