#include <doctest/doctest.h>

#include <cstdint>
#include <cstdlib>
#include <optional>

#include "libs/kernel/check.h"
#include "libs/kernel/random.h"
#include "tests/auto/requests/state_machine_driver.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

// Simulates the upstream and the caller of one request, and records what was
// executed, as the reference for what the state machine reports.
class RequestSimulation {
 public:
  explicit RequestSimulation(std::uint64_t seed)
      : random_(seed), driver_(Start()) {}

  void Run() {
    for (int it = 0; it < 60 && !Finished(); ++it) {
      Step();
    }
    // The services guarantee that each open operation ends.
    for (int it = 0; it < 20 && !Finished(); ++it) {
      if (running_) {
        EndAttempt();
      }
      driver_.Advance(std::chrono::minutes(2));
    }
    CHECK(Finished());
    CheckAnswer();
  }

 private:
  StateMachineDriver Start() {
    const auto response_mode = static_cast<ResponseMode>(random_.NextBelow(3));
    needs_claim_ =
        response_mode == ResponseMode::kService && random_.NextBool(0.7);
    return StateMachineDriver(response_mode, needs_claim_);
  }

  bool Finished() const { return !driver_.All<RemoveRequestAction>().empty(); }

  void Step() {
    switch (random_.NextBelow(12)) {
      case 0:
        // Mostly a short time, sometimes beyond the deadline.
        driver_.Advance(random_.NextBool(0.1)
                            ? kTestDeadline
                            : milliseconds(random_.NextBelow(800)));
        break;
      case 1:
        driver_.Feed(ClaimAnsweredEvent{.answer = RandomClaim()});
        break;
      case 2:
        driver_.Feed(PermitGrantedEvent{
            .permit =
                driver_.MakePermit(milliseconds(random_.NextBelow(900)))});
        break;
      case 3:
        if (random_.NextBool(0.1)) {
          driver_.Feed(PermitRefusedEvent{});
        }
        break;
      case 4:
        if (random_.NextBool(0.15)) {
          driver_.Feed(CallerDisconnectedEvent{});
          caller_disconnected_ = true;
        }
        break;
      case 5:
        if (random_.NextBool(0.15)) {
          driver_.Feed(DrainEvent{});
        }
        break;
      case 6:
        driver_.Feed(ClaimReleasedEvent{.confirmed = ReleaseSucceeds()});
        break;
      default:
        StepUpstream();
    }
    running_ = !driver_.All<StartUpstreamAction>().empty() &&
               driver_.All<StartUpstreamAction>().size() > ended_;
  }

  // A claim is answered once, and only when it was requested.
  ClaimAnswer RandomClaim() {
    if (claim_answered_ || !needs_claim_) {
      return {.verdict = ClaimVerdict::kRefused,
              .refusal = {.run_status = RunStatus::kAttemptNotRun}};
    }
    claim_answered_ = true;
    const auto verdict = static_cast<ClaimVerdict>(random_.NextBelow(3));
    claim_owned_ = verdict == ClaimVerdict::kOwned;
    recorded_before_ = verdict == ClaimVerdict::kRecorded;
    return {.verdict = verdict,
            .refusal = {.run_status = RunStatus::kUnknown},
            .dispatch_until =
                driver_.now() + milliseconds(random_.NextBelow(20000))};
  }

  bool ReleaseSucceeds() {
    const bool asked = !driver_.All<ReleaseClaimAction>().empty();
    released_ = released_ || (asked && claim_owned_ && random_.NextBool(0.5));
    return released_;
  }

  void StepUpstream() {
    if (!running_) {
      return;
    }
    if (!sent_) {
      if (random_.NextBool(0.7)) {
        sent_ = driver_.TrySend();
        executions_ += sent_ ? 1 : 0;
        if (!sent_) {
          End(ExecutionKnowledge::kNothingSent);
        }
      } else {
        End(ExecutionKnowledge::kNothingSent);
      }
      return;
    }
    switch (random_.NextBelow(5)) {
      case 0:
        if (!head_) {
          // The upstream refused the request before executing it.
          --executions_;
          End(ExecutionKnowledge::kNotExecuted);
        }
        break;
      case 1:
        End(ExecutionKnowledge::kMaybeExecuted);
        break;
      case 2:
        if (head_) {
          driver_.Complete();
          completed_ = true;
          EndAttempt();
        }
        break;
      default:
        if (!head_) {
          driver_.Head();
          head_ = true;
        } else {
          driver_.Data("x");
        }
    }
  }

  void End(ExecutionKnowledge knowledge) {
    driver_.FailWith(knowledge);
    Reset();
  }
  void EndAttempt() {
    if (!completed_) {
      driver_.FailWith(sent_ ? ExecutionKnowledge::kMaybeExecuted
                             : ExecutionKnowledge::kNothingSent);
    }
    Reset();
  }
  void Reset() {
    ++ended_;
    running_ = false;
    sent_ = false;
    head_ = false;
  }

  void CheckStatus(const Refusal& refusal) const {
    if (refusal.run_status == RunStatus::kNotRun) {
      CHECK(executions_ == 0);
      CHECK((!needs_claim_ || released_));
    }
    if (refusal.run_status == RunStatus::kAttemptNotRun) {
      CHECK(executions_ == 0);
    }
  }

  void CheckAnswer() const {
    CHECK(executions_ <= 1);
    const auto refusals = driver_.All<SendRefusalAction>();
    const auto failures = driver_.All<FailResponseAction>();
    const std::size_t ends = refusals.size() + failures.size() +
                             driver_.All<FinishResponseAction>().size() +
                             driver_.All<SendResponseAction>().size();
    // The caller gets exactly one final message, unless it disconnected first.
    CHECK((caller_disconnected_ ? ends <= 1 : ends == 1));
    for (const auto& it : refusals) {
      CheckStatus(it.refusal);
    }
    for (const auto& it : failures) {
      CheckStatus(it.refusal);
    }
    // Each permit is reported once.
    CHECK(driver_.All<ReportPermitAction>().size() >=
          driver_.All<StartUpstreamAction>().size());
    if (claim_owned_ && executions_ > 0) {
      // A claim under which a request was executed is never released.
      CHECK(driver_.All<ReleaseClaimAction>().empty());
      CHECK(driver_.All<RecordClaimAction>().size() +
                driver_.All<LeaveClaimUnresolvedAction>().size() ==
            1);
    }
    if (recorded_before_ && needs_claim_) {
      CHECK(executions_ == 0);
    }
  }

  Random random_;
  bool needs_claim_ = false;
  StateMachineDriver driver_;
  bool claim_answered_ = false;
  bool claim_owned_ = false;
  bool recorded_before_ = false;
  bool released_ = false;
  bool caller_disconnected_ = false;
  bool running_ = false;
  bool sent_ = false;
  bool head_ = false;
  bool completed_ = false;
  std::size_t ended_ = 0;
  int executions_ = 0;
};

// Guards against sequences of events in which a request is executed twice, gets
// no response or more than one, or gets a wrong run status.
TEST_CASE("random sequences of events keep the invariants") {
  const char* given = std::getenv("FLAMINGOGAUGE_TEST_SEED");
  const std::uint64_t first =
      given == nullptr ? 1 : std::strtoull(given, nullptr, 10);
  const std::uint64_t runs = given == nullptr ? 20000 : 1;
  int violations = 0;
  const auto previous = SetInvariantViolationHandler(
      [&violations](const InvariantViolation& violation) {
        ++violations;
        MESSAGE(violation.invariant << ": " << violation.detail);
      });
  for (std::uint64_t seed = first; seed < first + runs; ++seed) {
    CAPTURE(seed);
    RequestSimulation simulation(seed);
    simulation.Run();
    CHECK(violations == 0);
    if (violations != 0) {
      break;
    }
  }
  SetInvariantViolationHandler(previous);
}

}  // namespace
}  // namespace flamingogauge
