#ifndef FLAMINGOGAUGE_LIBS_REQUESTS_DISPATCH_GATE_H_
#define FLAMINGOGAUGE_LIBS_REQUESTS_DISPATCH_GATE_H_

#include <cstdint>
#include <mutex>
#include <vector>

#include "libs/kernel/time.h"
#include "libs/model/ids.h"

namespace flamingogauge {

// Decides, immediately before the first byte is written, whether an attempt may
// be sent. It is the only part of a request that is shared between threads: the
// requests thread arms and closes it, the upstream client's thread calls
// TryDispatch(). Invariant I1: a request is dispatched at most once, unless the
// upstream is known to have executed nothing.
class DispatchGate {
 public:
  explicit DispatchGate(RequestId id) : id_(id) {}

  // Allows one dispatch of `attempt` under `permit` before `valid_until`. Each
  // permit can be used once only.
  void Arm(std::uint32_t attempt,
           const PermitId& permit,
           MonotonicTime valid_until);

  // Returns true when the attempt may be sent now. Closes the gate when
  // `valid_until` has passed.
  bool TryDispatch(std::uint32_t attempt, MonotonicTime now);

  // Prevents any later dispatch. Returns true when no byte of the armed attempt
  // can have been sent, false when the attempt has already been dispatched.
  bool Close();

  // Called when the upstream client reports that the attempt was not executed.
  // Returns false, and keeps assuming that it may have been, when the attempt
  // called TryDispatch() again after it had been dispatched.
  bool ConfirmNotExecuted(std::uint32_t attempt);

  // True from the dispatch until ConfirmNotExecuted() succeeds.
  bool MayHaveRun() const;

  // The number of dispatches over all attempts of the request.
  std::uint32_t dispatch_count() const;

 private:
  enum class State { kClosed, kArmed, kDispatched };

  const RequestId id_;
  mutable std::mutex mutex_;
  State state_ = State::kClosed;
  std::uint32_t attempt_ = 0;
  MonotonicTime valid_until_;
  bool may_have_run_ = false;
  bool second_dispatch_requested_ = false;
  std::uint32_t dispatch_count_ = 0;
  std::vector<PermitId> used_permits_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_REQUESTS_DISPATCH_GATE_H_
