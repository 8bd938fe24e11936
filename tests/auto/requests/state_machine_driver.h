#ifndef FLAMINGOGAUGE_TESTS_AUTO_REQUESTS_STATE_MACHINE_DRIVER_H_
#define FLAMINGOGAUGE_TESTS_AUTO_REQUESTS_STATE_MACHINE_DRIVER_H_

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "libs/requests/request_state_machine.h"

namespace flamingogauge {

inline constexpr MonotonicTime kTestStart{std::chrono::hours(1)};
inline constexpr std::chrono::milliseconds kTestDeadline{10000};

// Passes events to one state machine and stores the actions that it returns.
class StateMachineDriver {
 public:
  explicit StateMachineDriver(
      ResponseMode response_mode = ResponseMode::kStream,
      bool needs_claim = false)
      : machine_(MakeSpec(response_mode, needs_claim), RequestLimits{}) {
    Feed(SubmittedEvent{});
  }

  static RequestSpec MakeSpec(ResponseMode response_mode, bool needs_claim) {
    return {.id = {.incarnation = {.high = 1, .low = 2}, .sequence = 3},
            .workspace = "w",
            .target = "m",
            .response_mode = response_mode,
            .idempotency_key = needs_claim ? "key" : "",
            .needs_claim = needs_claim,
            .accepted_at = kTestStart,
            .deadline = kTestStart + kTestDeadline};
  }

  void Feed(const RequestEvent& event) {
    last_ = machine_.Handle(event, now_);
    for (const RequestAction& it : last_) {
      all_.push_back(it);
    }
  }

  void Advance(std::chrono::milliseconds time) {
    now_ += time;
    Feed(TimerEvent{});
  }

  Permit MakePermit(
      std::chrono::milliseconds valid_for = std::chrono::milliseconds(1000)) {
    return {.id = {.scheduler = {.high = 9, .low = 9}, .sequence = ++permits_},
            .request = machine_.spec().id,
            .upstream = "u" + std::to_string(permits_),
            .expires_at = now_ + valid_for};
  }

  void Grant() { Feed(PermitGrantedEvent{.permit = MakePermit()}); }

  // Dispatches the attempt as the upstream client does.
  bool TrySend() {
    const bool dispatched =
        machine_.gate()->TryDispatch(machine_.attempt(), now_);
    if (dispatched) {
      Feed(UpstreamSendingEvent{.attempt = machine_.attempt()});
    }
    return dispatched;
  }

  void Head(int status = 200) {
    Feed(UpstreamHeadEvent{.attempt = machine_.attempt(),
                           .status = status,
                           .content_type = "text/plain"});
  }
  void Data(std::string data) {
    Feed(UpstreamDataEvent{.attempt = machine_.attempt(),
                           .data = std::move(data)});
  }
  void Complete() {
    Feed(UpstreamCompletedEvent{.attempt = machine_.attempt()});
  }
  void FailWith(ExecutionKnowledge knowledge,
                ErrorCode code = ErrorCode::kUnavailable) {
    Feed(UpstreamFailedEvent{
        .attempt = machine_.attempt(),
        .error = {.code = code, .step = "test", .message = "failed"},
        .knowledge = knowledge});
  }

  // Returns all actions of one type.
  template <typename Action>
  std::vector<Action> All() const {
    return Select<Action>(all_);
  }
  // Returns the actions of one type that the last event caused.
  template <typename Action>
  std::vector<Action> Last() const {
    return Select<Action>(last_);
  }

  RequestStateMachine& machine() { return machine_; }
  MonotonicTime now() const { return now_; }

 private:
  template <typename Action>
  static std::vector<Action> Select(const std::vector<RequestAction>& actions) {
    std::vector<Action> selected;
    for (const RequestAction& it : actions) {
      if (const auto* action = std::get_if<Action>(&it)) {
        selected.push_back(*action);
      }
    }
    return selected;
  }

  MonotonicTime now_ = kTestStart;
  std::uint64_t permits_ = 0;
  std::vector<RequestAction> last_;
  std::vector<RequestAction> all_;
  RequestStateMachine machine_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_AUTO_REQUESTS_STATE_MACHINE_DRIVER_H_
