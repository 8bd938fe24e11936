#ifndef FLAMINGOGAUGE_LIBS_REQUESTS_DISPATCH_GATE_H_
#define FLAMINGOGAUGE_LIBS_REQUESTS_DISPATCH_GATE_H_

#include <cstdint>
#include <mutex>
#include <vector>

#include "libs/kernel/time.h"
#include "libs/model/ids.h"

namespace flamingogauge {

// Decides, at the moment before the first byte leaves, whether an attempt may
// be sent. It is the only part of a request that two threads share: the
// requests thread arms and closes it, the upstream client's thread passes it.
// Invariant I1: it is passed once, unless the upstream provably executed
// nothing.
class DispatchGate {
 public:
  explicit DispatchGate(RequestId id) : id_(id) {}

  // Allows one pass of this attempt under this permit before `valid_until`. A
  // permit can be armed once.
  void Arm(std::uint32_t attempt,
           const PermitId& permit,
           MonotonicTime valid_until);

  // Returns true when the attempt may be sent now. An expired gate closes.
  bool TryDispatch(std::uint32_t attempt, MonotonicTime now);

  // Forbids a later pass. Returns true when no byte of the armed attempt can
  // have left, false when it has already passed.
  bool Close();

  // The upstream of the attempt executed nothing. Returns false, and keeps the
  // opposite assumption, when the attempt asked to pass more than once.
  bool ConfirmNotExecuted(std::uint32_t attempt);

  // True from the pass until a confirmation that nothing was executed.
  bool MayHaveRun() const;

  // The number of passes in the life of the request.
  std::uint32_t passes() const;

 private:
  enum class State { kClosed, kArmed, kPassed };

  const RequestId id_;
  mutable std::mutex mutex_;
  State state_ = State::kClosed;
  std::uint32_t attempt_ = 0;
  MonotonicTime valid_until_;
  bool may_have_run_ = false;
  bool asked_again_ = false;
  std::uint32_t passes_ = 0;
  std::vector<PermitId> used_permits_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_REQUESTS_DISPATCH_GATE_H_
