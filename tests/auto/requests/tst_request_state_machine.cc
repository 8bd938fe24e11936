#include <doctest/doctest.h>

#include "tests/auto/requests/state_machine_driver.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

ClaimAnsweredEvent OwnedClaim(const StateMachineDriver& driver) {
  return {.answer = {.verdict = ClaimVerdict::kOwned,
                     .dispatch_until = driver.now() + std::chrono::hours(1)}};
}

// Guards against events that are lost, repeated or sent before the head, and
// against a stream whose end is not reported.
TEST_CASE("a stream is forwarded event by event") {
  StateMachineDriver driver;
  REQUIRE(driver.All<RequestPermitAction>().size() == 1);
  driver.Grant();
  REQUIRE(driver.Last<StartUpstreamAction>().size() == 1);
  REQUIRE(driver.TrySend());
  driver.Head();
  driver.Data("a");
  CHECK(driver.Last<StartResponseAction>().size() == 1);
  driver.Data("b");
  CHECK(driver.Last<StartResponseAction>().empty());
  driver.Complete();
  CHECK(driver.All<SendEventAction>().size() == 2);
  CHECK(driver.Last<FinishResponseAction>().size() == 1);
  CHECK(driver.Last<ReportPermitAction>().at(0).outcome.end ==
        PermitEnd::kCompleted);
  CHECK(driver.Last<RemoveRequestAction>().size() == 1);
}

// Guards against a run status that is wrong for the state in which an attempt
// failed (see the table in section 3.1 of the design).
TEST_CASE("the run status follows from the state") {
  struct Row {
    const char* name;
    int steps;  // 0: started, 1: sending, 2: head, 3: first event
    ExecutionKnowledge knowledge;
    bool retried;
    RunStatus status;
  };
  for (const Row& row : {
           Row{"connect", 0, ExecutionKnowledge::kNothingSent, true,
               RunStatus::kNotRun},
           Row{"no byte", 1, ExecutionKnowledge::kNothingSent, true,
               RunStatus::kNotRun},
           Row{"refused", 1, ExecutionKnowledge::kNotExecuted, true,
               RunStatus::kNotRun},
           Row{"no answer", 1, ExecutionKnowledge::kMaybeExecuted, false,
               RunStatus::kUnknown},
           Row{"head only", 2, ExecutionKnowledge::kMaybeExecuted, false,
               RunStatus::kExecuted},
           Row{"streaming", 3, ExecutionKnowledge::kMaybeExecuted, false,
               RunStatus::kExecuted},
           // The response head contradicts the client's report.
           Row{"contradiction", 2, ExecutionKnowledge::kNotExecuted, false,
               RunStatus::kExecuted},
       }) {
    CAPTURE(row.name);
    StateMachineDriver driver;
    // Two retries are allowed; the third failure is reported to the caller.
    const int attempts = row.retried ? 3 : 1;
    for (int it = 0; it < attempts; ++it) {
      driver.Grant();
      if (row.steps > 0) {
        REQUIRE(driver.TrySend());
      }
      if (row.steps > 1) {
        driver.Head();
      }
      if (row.steps > 2) {
        driver.Data("a");
      }
      driver.FailWith(row.knowledge);
    }
    CHECK(driver.All<RequestPermitAction>().size() ==
          static_cast<std::size_t>(attempts));
    const auto excluded =
        driver.All<RequestPermitAction>().back().request.excluded;
    CHECK(excluded.size() == static_cast<std::size_t>(attempts - 1));
    if (row.steps == 3) {
      CHECK(driver.Last<FailResponseAction>().at(0).refusal.run_status ==
            row.status);
    } else {
      CHECK(driver.Last<SendRefusalAction>().at(0).refusal.run_status ==
            row.status);
    }
    CHECK(driver.Last<RemoveRequestAction>().size() == 1);
  }
}

// Guards against "not run" for a request with an idempotency key whose claim is
// not known to be released: another attempt with the key may have been
// executed.
TEST_CASE("a keyed request is not run only after a confirmed release") {
  struct Row {
    bool confirmed;
    bool answered;
    RunStatus status;
  };
  for (const Row& row : {Row{true, true, RunStatus::kNotRun},
                         Row{false, true, RunStatus::kAttemptNotRun},
                         Row{false, false, RunStatus::kAttemptNotRun}}) {
    StateMachineDriver driver(ResponseMode::kService, true);
    REQUIRE(driver.Last<AcquireClaimAction>().size() == 1);
    driver.Feed(OwnedClaim(driver));
    driver.Feed(
        PermitRefusedEvent{.refusal = {.kind = RefusalKind::kCapacity,
                                       .run_status = RunStatus::kNotRun}});
    CHECK(driver.Last<SendRefusalAction>().empty());
    REQUIRE(driver.Last<ReleaseClaimAction>().size() == 1);
    if (row.answered) {
      driver.Feed(ClaimReleasedEvent{.confirmed = row.confirmed});
    } else {
      driver.Advance(RequestLimits{}.release_time_limit);
    }
    const auto refusals = driver.Last<SendRefusalAction>();
    REQUIRE(refusals.size() == 1);
    CHECK(refusals[0].refusal.run_status == row.status);
    CHECK(refusals[0].refusal.kind == RefusalKind::kCapacity);
  }
}

// Guards against a non-idempotent request that is executed without its claim,
// that is cancelled when its caller disconnects, or whose outcome is not
// recorded (I5).
TEST_CASE("a sent booking is recorded although its caller disconnected") {
  StateMachineDriver driver(ResponseMode::kService, true);
  CHECK(driver.All<RequestPermitAction>().empty());
  driver.Feed(OwnedClaim(driver));
  driver.Grant();
  REQUIRE(driver.TrySend());
  driver.Feed(CallerDisconnectedEvent{});
  CHECK(driver.All<CancelUpstreamAction>().empty());
  driver.Advance(kTestDeadline + milliseconds(1));
  driver.Head(201);
  driver.Data("booked");
  driver.Complete();
  const auto records = driver.Last<RecordClaimAction>();
  REQUIRE(records.size() == 1);
  CHECK(records[0].outcome.status == 201);
  CHECK(records[0].outcome.body == "booked");
  CHECK(driver.All<SendResponseAction>().empty());
  CHECK(driver.All<SendRefusalAction>().empty());
}

// Guards against the release of a claim after an attempt that may have been
// executed: the request could be executed again.
TEST_CASE("a booking without an answer leaves its claim unresolved") {
  StateMachineDriver driver(ResponseMode::kService, true);
  driver.Feed(OwnedClaim(driver));
  driver.Grant();
  REQUIRE(driver.TrySend());
  driver.FailWith(ExecutionKnowledge::kMaybeExecuted);
  CHECK(driver.Last<LeaveClaimUnresolvedAction>().size() == 1);
  CHECK(driver.All<ReleaseClaimAction>().empty());
  CHECK(driver.Last<SendRefusalAction>().at(0).refusal.run_status ==
        RunStatus::kUnknown);
}

// Guards against the use of a second permit (I1) and against slots that stay
// occupied because an unused permit is not returned.
TEST_CASE("permits that are not used are returned") {
  StateMachineDriver driver;
  driver.Grant();
  driver.Grant();
  REQUIRE(driver.Last<ReportPermitAction>().size() == 1);
  CHECK(driver.Last<ReportPermitAction>()[0].outcome.end == PermitEnd::kUnused);
  CHECK(driver.All<StartUpstreamAction>().size() == 1);

  StateMachineDriver late;
  late.Feed(PermitGrantedEvent{.permit = late.MakePermit(milliseconds(0))});
  CHECK(late.Last<ReportPermitAction>().at(0).outcome.end ==
        PermitEnd::kUnused);
  CHECK(late.Last<RequestPermitAction>().size() == 1);
  CHECK(late.All<StartUpstreamAction>().empty());
}

// Guards against a host that was paused and, when it resumes, sends with an
// expired permit or after the deadline.
TEST_CASE("nothing is sent after a pause") {
  StateMachineDriver driver;
  driver.Grant();
  // The client calls the gate before the state machine gets a TimerEvent.
  CHECK_FALSE(driver.machine().gate()->TryDispatch(
      driver.machine().attempt(), driver.now() + std::chrono::minutes(10)));
  driver.Advance(std::chrono::minutes(10));
  CHECK(driver.Last<CancelUpstreamAction>().size() == 1);
  driver.FailWith(ExecutionKnowledge::kNothingSent, ErrorCode::kCancelled);
  CHECK(driver.Last<ReportPermitAction>().at(0).outcome.end ==
        PermitEnd::kUnused);
  const Refusal refusal = driver.Last<SendRefusalAction>().at(0).refusal;
  CHECK(refusal.kind == RefusalKind::kDeadlineExceeded);
  CHECK(refusal.run_status == RunStatus::kNotRun);
}

// Guards against a drain that leaves queued requests waiting or aborts requests
// in flight (I7).
TEST_CASE("a drain refuses queued requests and finishes others") {
  StateMachineDriver queued;
  queued.Feed(DrainEvent{});
  CHECK(queued.Last<CancelPermitAction>().size() == 1);
  CHECK(queued.Last<SendRefusalAction>().at(0).refusal.kind ==
        RefusalKind::kDraining);

  StateMachineDriver started;
  started.Grant();
  started.Feed(DrainEvent{});
  CHECK(started.Last<CancelUpstreamAction>().empty());
  REQUIRE(started.TrySend());
  started.Head();
  started.Feed(DrainEvent{});
  started.Complete();
  CHECK(started.Last<FinishResponseAction>().size() == 1);

  StateMachineDriver claiming(ResponseMode::kService, true);
  claiming.Feed(DrainEvent{});
  CHECK(claiming.Last<AbandonClaimAction>().size() == 1);
  // The claim was acquired concurrently and has to be released.
  claiming.Feed(OwnedClaim(claiming));
  CHECK(claiming.Last<ReleaseClaimAction>().size() == 1);
  claiming.Feed(ClaimReleasedEvent{.confirmed = true});
  CHECK(claiming.Last<SendRefusalAction>().at(0).refusal.run_status ==
        RunStatus::kNotRun);
}

// Guards against an engine that keeps generating for a caller that
// disconnected, and against events that are still sent to this caller.
TEST_CASE("a disconnected caller cancels an engine's stream") {
  StateMachineDriver driver;
  driver.Grant();
  REQUIRE(driver.TrySend());
  driver.Head();
  driver.Data("a");
  driver.Feed(CallerDisconnectedEvent{});
  CHECK(driver.Last<CancelUpstreamAction>().size() == 1);
  driver.Data("b");
  CHECK(driver.Last<SendEventAction>().empty());
  driver.FailWith(ExecutionKnowledge::kMaybeExecuted, ErrorCode::kCancelled);
  CHECK(driver.Last<ReportPermitAction>().at(0).outcome.end ==
        PermitEnd::kCancelled);
  CHECK(driver.All<FailResponseAction>().empty());
  CHECK(driver.Last<RemoveRequestAction>().size() == 1);
}

// Guards against unbounded buffering for a slow caller, and against a call that
// stays paused.
TEST_CASE("a slow caller pauses its upstream call") {
  StateMachineDriver driver;
  driver.Grant();
  REQUIRE(driver.TrySend());
  driver.Head();
  struct Row {
    std::size_t outstanding;
    std::size_t actions;
    bool paused;
  };
  for (const Row& row : {Row{262144, 0, false}, Row{262145, 1, true},
                         Row{500000, 0, true}, Row{1000, 1, false}}) {
    driver.Feed(CallerBacklogEvent{.outstanding_bytes = row.outstanding});
    const auto actions = driver.Last<PauseUpstreamAction>();
    REQUIRE(actions.size() == row.actions);
    if (!actions.empty()) {
      CHECK(actions[0].paused == row.paused);
    }
  }
}

// Guards against a resent request that is executed again, or that gets another
// response than the recorded one.
TEST_CASE("a recorded outcome is the response to a resend") {
  StateMachineDriver driver(ResponseMode::kService, true);
  driver.Feed(ClaimAnsweredEvent{
      .answer = {.verdict = ClaimVerdict::kRecorded,
                 .outcome = {.status = 201, .body = "booked"}}});
  REQUIRE(driver.Last<SendResponseAction>().size() == 1);
  CHECK(driver.Last<SendResponseAction>()[0].body == "booked");
  CHECK(driver.All<RequestPermitAction>().empty());
  CHECK(driver.Last<RemoveRequestAction>().size() == 1);
}

}  // namespace
}  // namespace flamingogauge
