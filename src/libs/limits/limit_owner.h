#ifndef FLAMINGOGAUGE_LIBS_LIMITS_LIMIT_OWNER_H_
#define FLAMINGOGAUGE_LIBS_LIMITS_LIMIT_OWNER_H_

#include <map>
#include <vector>

#include "libs/limits/limit_types.h"

namespace flamingogauge {

// Collects the unused parts of one limit that the hosts of a data centre lend,
// and distributes them to hosts that request more. All of its state is soft and
// expires.
class LimitOwner {
 public:
  explicit LimitOwner(Incarnation incarnation) : incarnation_(incarnation) {}

  // Returns the query to send to the hosts of the data centre.
  LendingQuery Ask(MonotonicTime now) const {
    return {.owner = incarnation_, .asked_at = now};
  }

  // Records the consent to one of this owner's queries; other consents are
  // ignored.
  void OnConsent(MonotonicTime now,
                 const HostId& lender,
                 const LendingConsent& consent);

  // Grants a host a loan from the available amount, up to its fair share.
  Loan Lend(MonotonicTime now,
            const HostId& borrower,
            const BorrowRequest& request);

  // True if no host has recently requested an amount, so that nothing is lent.
  bool IsIdle(MonotonicTime now) const;

 private:
  struct ExpiringAmount {
    double amount = 0;
    MonotonicTime until;
  };

  Incarnation incarnation_;
  // The newest consent of each lender.
  std::map<HostId, ExpiringAmount> consents_;
  // All loans that may be in use; a borrower uses one of its loans at a time.
  std::map<HostId, std::vector<ExpiringAmount>> loans_;
  std::map<HostId, ExpiringAmount> requested_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_LIMITS_LIMIT_OWNER_H_
