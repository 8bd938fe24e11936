#include <doctest/doctest.h>

#include <atomic>
#include <thread>
#include <vector>

#include "libs/kernel/check.h"
#include "libs/requests/dispatch_gate.h"

namespace flamingogauge {
namespace {

constexpr MonotonicTime kNow{std::chrono::hours(1)};
constexpr MonotonicTime kLater = kNow + std::chrono::seconds(1);
constexpr PermitId kPermit{.scheduler = {}, .sequence = 1};
constexpr PermitId kOtherPermit{.scheduler = {}, .sequence = 2};

// Guards against a second dispatch (I1) and against a dispatch with an expired
// permit after the process was paused.
TEST_CASE("DispatchGate allows one dispatch, before its time limit") {
  DispatchGate gate({});
  CHECK_FALSE(gate.TryDispatch(1, kNow));
  gate.Arm(1, kPermit, kLater);
  CHECK_FALSE(gate.TryDispatch(2, kNow));
  CHECK(gate.TryDispatch(1, kNow));
  CHECK(gate.MayHaveRun());
  CHECK_FALSE(gate.TryDispatch(1, kNow));
  CHECK_FALSE(gate.Close());

  DispatchGate late({});
  late.Arm(1, kPermit, kLater);
  CHECK_FALSE(late.TryDispatch(1, kLater));
  CHECK_FALSE(late.TryDispatch(1, kNow));
  CHECK_FALSE(late.MayHaveRun());
}

// Guards against trust in a "not executed" report of a client that called
// TryDispatch() twice: the first dispatch may have been executed.
TEST_CASE("DispatchGate opens again only when nothing was executed") {
  DispatchGate gate({});
  gate.Arm(1, kPermit, kLater);
  REQUIRE(gate.TryDispatch(1, kNow));
  CHECK(gate.ConfirmNotExecuted(1));
  gate.Arm(2, kOtherPermit, kLater);
  REQUIRE(gate.TryDispatch(2, kNow));
  CHECK_FALSE(gate.TryDispatch(2, kNow));
  CHECK_FALSE(gate.ConfirmNotExecuted(2));
  CHECK(gate.MayHaveRun());
  CHECK(gate.dispatch_count() == 2);
}

// Guards against invariant checks that do not detect a second dispatch or a
// permit that is used twice.
TEST_CASE("DispatchGate reports violations of I1") {
  int violations = 0;
  const auto previous = SetInvariantViolationHandler(
      [&violations](const InvariantViolation& violation) {
        violations += violation.invariant == "I1" ? 1 : 0;
      });
  DispatchGate gate({});
  gate.Arm(1, kPermit, kLater);
  gate.Arm(2, kPermit, kLater);
  CHECK(violations == 1);
  REQUIRE(gate.TryDispatch(2, kNow));
  gate.Arm(3, kOtherPermit, kLater);
  CHECK(violations == 2);
  SetInvariantViolationHandler(previous);
}

// Guards against a race between the upstream client's thread, which sends, and
// the requests thread, which closes the gate: exactly one of them succeeds.
TEST_CASE("DispatchGate decides between sending and closing") {
  for (int it = 0; it < 2000; ++it) {
    DispatchGate gate({});
    gate.Arm(1, kPermit, kLater);
    bool dispatched = false;
    std::thread sender([&] { dispatched = gate.TryDispatch(1, kNow); });
    const bool closed = gate.Close();
    sender.join();
    REQUIRE(dispatched != closed);
  }
}

}  // namespace
}  // namespace flamingogauge
