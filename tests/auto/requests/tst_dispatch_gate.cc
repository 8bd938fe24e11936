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

// Guards against a second dispatch (I1) and against sending with an expired
// permit after the process was paused.
TEST_CASE("DispatchGate is passed once, before its limit") {
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

// Guards against a claim that nothing was executed by a client that asked to
// send twice: the first time may have executed.
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
  CHECK(gate.passes() == 2);
}

// Guards against checks that would not notice a second dispatch or a permit
// that is used twice.
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

// Guards against a race between the upstream client that sends and the
// requests thread that withdraws: exactly one of them wins.
TEST_CASE("DispatchGate decides between sending and closing") {
  for (int it = 0; it < 2000; ++it) {
    DispatchGate gate({});
    gate.Arm(1, kPermit, kLater);
    bool passed = false;
    std::thread sender([&] { passed = gate.TryDispatch(1, kNow); });
    const bool closed = gate.Close();
    sender.join();
    REQUIRE(passed != closed);
  }
}

}  // namespace
}  // namespace flamingogauge
