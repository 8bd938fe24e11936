#ifndef FLAMINGOGAUGE_LIBS_SERVICES_PERMIT_BROKER_H_
#define FLAMINGOGAUGE_LIBS_SERVICES_PERMIT_BROKER_H_

#include <functional>
#include <string_view>

#include "libs/model/permit.h"
#include "libs/model/refusal.h"

namespace flamingogauge {

// Obtains permits from the scheduler of a group, wherever it runs. Safe from
// any thread; returns at once.
class PermitBroker {
 public:
  static constexpr std::string_view kServiceName = "scheduler.permits";

  // Receives the answers on the scheduler thread; must not block.
  struct Listener {
    // Also called when a second scheduler grants one more permit for a request;
    // the receiver returns those it does not use with kUnused.
    std::function<void(Permit)> on_granted;
    // The refusal's run status speaks of this attempt only.
    std::function<void(RequestId, Refusal)> on_refused;
  };

  virtual ~PermitBroker() = default;

  // Sets the one listener of this host. Call from ExtensionsInitialized.
  virtual void SetListener(Listener listener) = 0;

  // Asks for a permit. Answered by on_granted or on_refused, at the latest
  // with kDeadlineExceeded when the request's time is over.
  virtual void Request(PermitRequest request) = 0;

  // Withdraws a request that has no permit yet. A permit that is already under
  // way is still delivered and must be reported as kUnused.
  virtual void Cancel(RequestId id) = 0;

  // Reports how the use of a permit ended, once for each permit.
  virtual void Report(PermitOutcome outcome) = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_SERVICES_PERMIT_BROKER_H_
