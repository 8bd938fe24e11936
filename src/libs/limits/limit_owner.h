#ifndef FLAMINGOGAUGE_LIBS_LIMITS_LIMIT_OWNER_H_
#define FLAMINGOGAUGE_LIBS_LIMITS_LIMIT_OWNER_H_

#include <map>
#include <vector>

#include "libs/limits/limit_types.h"

namespace flamingogauge {

// Collects what the hosts of a data centre lend of one limit and gives it to
// those that ask. Its state is soft: everything in it expires.
class LimitOwner {
 public:
  explicit LimitOwner(Incarnation incarnation) : incarnation_(incarnation) {}

  // The question to send to the hosts of the data centre.
  LendingQuery Ask(MonotonicTime now) const {
    return {.owner = incarnation_, .asked_at = now};
  }

  // Takes the consent to an own question; others have no effect.
  void OnConsent(MonotonicTime now,
                 const HostId& lender,
                 const LendingConsent& consent);

  // Gives a host what is free, up to a fair part of it.
  Loan Lend(MonotonicTime now,
            const HostId& borrower,
            const BorrowRequest& request);

  // True when no host has asked for a time and nothing is lent.
  bool IsIdle(MonotonicTime now) const;

 private:
  struct Part {
    double amount = 0;
    MonotonicTime until;
  };

  Incarnation incarnation_;
  // The newest consent of each lender.
  std::map<HostId, Part> consents_;
  // All loans that may be in use; a borrower uses one of its loans at a time.
  std::map<HostId, std::vector<Part>> loans_;
  std::map<HostId, Part> wanted_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_LIMITS_LIMIT_OWNER_H_
