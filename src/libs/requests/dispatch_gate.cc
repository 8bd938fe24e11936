#include "libs/requests/dispatch_gate.h"

#include <algorithm>
#include <string>

#include "libs/kernel/check.h"

namespace flamingogauge {

void DispatchGate::Arm(std::uint32_t attempt,
                       const PermitId& permit,
                       MonotonicTime valid_until) {
  std::lock_guard<std::mutex> lock(mutex_);
  CHECK_INVARIANT(
      "I1", !may_have_run_,
      "arm request " + ToString(id_) + ", which may have been executed");
  CHECK_INVARIANT("I1",
                  std::find(used_permits_.begin(), used_permits_.end(),
                            permit) == used_permits_.end(),
                  "arm request " + ToString(id_) +
                      " with already used permit " + ToString(permit));
  used_permits_.push_back(permit);
  state_ = State::kArmed;
  attempt_ = attempt;
  valid_until_ = valid_until;
}

bool DispatchGate::TryDispatch(std::uint32_t attempt, MonotonicTime now) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (attempt != attempt_) {
    return false;
  }
  if (state_ == State::kDispatched) {
    second_dispatch_requested_ = true;
    return false;
  }
  if (state_ != State::kArmed || now >= valid_until_) {
    state_ = State::kClosed;
    return false;
  }
  CHECK_INVARIANT("I1", !may_have_run_,
                  "dispatch request " + ToString(id_) + " a second time");
  state_ = State::kDispatched;
  may_have_run_ = true;
  ++dispatch_count_;
  return true;
}

bool DispatchGate::Close() {
  std::lock_guard<std::mutex> lock(mutex_);
  if (state_ == State::kDispatched) {
    return false;
  }
  state_ = State::kClosed;
  return true;
}

bool DispatchGate::ConfirmNotExecuted(std::uint32_t attempt) {
  std::lock_guard<std::mutex> lock(mutex_);
  if (attempt != attempt_ || second_dispatch_requested_) {
    return !may_have_run_;
  }
  state_ = State::kClosed;
  may_have_run_ = false;
  return true;
}

bool DispatchGate::MayHaveRun() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return may_have_run_;
}

std::uint32_t DispatchGate::dispatch_count() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return dispatch_count_;
}

}  // namespace flamingogauge
