#include <doctest/doctest.h>

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libs/claims/claim_attempt.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Actions = ClaimAttempt::Actions;

const MonotonicTime kStart{seconds(100)};
const ClaimToken kOwnToken{.high = 1, .low = 1};
const ClaimToken kOtherToken{.high = 2, .low = 2};
const Fingerprint kFingerprint{.high = 7, .low = 7};
const Fingerprint kOtherFingerprint{.high = 8, .low = 8};

ClaimAttemptOptions Options() {
  return {.token = kOwnToken,
          .owner = {.high = 1, .low = 1},
          .fingerprint = kFingerprint,
          .epoch = 3,
          .deadline = kStart + seconds(10)};
}

VersionedClaim OtherClaim(ClaimState state, Fingerprint fingerprint) {
  return {.record = {.state = state,
                     .token = kOtherToken,
                     .owner = {.high = 2, .low = 2},
                     .fingerprint = fingerprint,
                     .epoch = 3,
                     .outcome = {.status = 200, .body = "booked"}},
          .version = 5};
}

template <typename T>
const T* FindAction(const Actions& actions) {
  for (const ClaimAction& it : actions) {
    if (const T* found = std::get_if<T>(&it)) {
      return found;
    }
  }
  return nullptr;
}

// Guards against a second execution: the record under the key determines
// whether the attempt may dispatch, and with which run status it is refused.
TEST_CASE("ClaimAttempt decides by the record that the key holds") {
  struct Row {
    const char* name;
    ClaimState state;
    Fingerprint fingerprint;
    bool owner_alive;
    std::optional<ClaimVerdict> verdict;
    RunStatus run_status;
  };
  const Row rows[] = {
      {"recorded outcome", ClaimState::kDone, kFingerprint, false,
       ClaimVerdict::kRecorded, RunStatus::kUnknown},
      {"dead owner", ClaimState::kClaimed, kFingerprint, false,
       ClaimVerdict::kRefused, RunStatus::kUnknown},
      {"live owner is waited for", ClaimState::kClaimed, kFingerprint, true,
       std::nullopt, RunStatus::kUnknown},
      {"key reused while claimed", ClaimState::kClaimed, kOtherFingerprint,
       true, ClaimVerdict::kRefused, RunStatus::kAttemptNotRun},
      {"key reused after an outcome", ClaimState::kDone, kOtherFingerprint,
       true, ClaimVerdict::kRefused, RunStatus::kAttemptNotRun},
      {"released key is claimed again", ClaimState::kReleased, kFingerprint,
       true, std::nullopt, RunStatus::kUnknown},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ClaimAttempt attempt(Options());
    REQUIRE(FindAction<CreateClaimAction>(attempt.Start(kStart)) != nullptr);
    REQUIRE(FindAction<ReadClaimAction>(attempt.OnWritten(
                kStart, StoreWriteResult::kConflict, 0)) != nullptr);
    const Actions actions =
        attempt.OnRead(kStart, ClaimReadResult::kFound,
                       OtherClaim(row.state, row.fingerprint), row.owner_alive);
    const auto* answer = FindAction<ReportVerdictAction>(actions);
    REQUIRE((answer != nullptr) == row.verdict.has_value());
    CHECK_FALSE(attempt.IsOwned());
    if (answer != nullptr) {
      CHECK(answer->answer.verdict == *row.verdict);
      CHECK(attempt.IsFinished());
      if (*row.verdict == ClaimVerdict::kRefused) {
        CHECK(answer->answer.refusal.run_status == row.run_status);
      } else {
        CHECK(answer->answer.outcome.body == "booked");
      }
    }
    const auto* update = FindAction<UpdateClaimAction>(actions);
    CHECK((update != nullptr) == (row.state == ClaimState::kReleased));
  }
}

// Guards against a joined attempt that executes the request after the caller of
// the first attempt was told "not run" (found by the randomised test, seed
// 455).
TEST_CASE("A joined ClaimAttempt shares the refusal of the first attempt") {
  ClaimAttempt attempt(Options());
  attempt.Start(kStart);
  attempt.OnWritten(kStart, StoreWriteResult::kConflict, 0);
  attempt.OnRead(kStart, ClaimReadResult::kFound,
                 OtherClaim(ClaimState::kClaimed, kFingerprint), true);
  attempt.OnTime(kStart + seconds(1));
  const Actions actions =
      attempt.OnRead(kStart + seconds(1), ClaimReadResult::kFound,
                     OtherClaim(ClaimState::kReleased, kFingerprint), true);
  CHECK(FindAction<UpdateClaimAction>(actions) == nullptr);
  const auto* answer = FindAction<ReportVerdictAction>(actions);
  REQUIRE(answer != nullptr);
  CHECK(answer->answer.refusal.run_status == RunStatus::kNotRun);
}

// Guards against an attempt that takes a lost response for success or failure
// instead of reading the record and comparing its token.
TEST_CASE("ClaimAttempt resolves a lost response by reading the record") {
  struct Row {
    const char* name;
    ClaimReadResult result;
    bool own_token;
    bool owned;
    bool creates_again;
  };
  const Row rows[] = {
      {"own token", ClaimReadResult::kFound, true, true, false},
      {"another token", ClaimReadResult::kFound, false, false, false},
      {"absent", ClaimReadResult::kAbsent, false, false, true},
      {"unreadable", ClaimReadResult::kUnavailable, false, false, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ClaimAttempt attempt(Options());
    attempt.Start(kStart);
    attempt.OnWritten(kStart, StoreWriteResult::kUnknown, 0);
    VersionedClaim claim = OtherClaim(ClaimState::kClaimed, kFingerprint);
    if (row.own_token) {
      claim.record.token = kOwnToken;
    }
    const Actions actions = attempt.OnRead(kStart, row.result,
                                           row.result == ClaimReadResult::kFound
                                               ? std::optional(claim)
                                               : std::nullopt,
                                           true);
    CHECK(attempt.IsOwned() == row.owned);
    CHECK((FindAction<CreateClaimAction>(actions) != nullptr) ==
          row.creates_again);
  }
}

// Guards against a caller that waits for an unresponsive store, and against a
// claim that is not released after its caller was refused.
TEST_CASE("ClaimAttempt refuses in time and releases a late claim") {
  ClaimAttempt attempt(Options());
  attempt.Start(kStart);
  REQUIRE(attempt.NextTimeout().has_value());
  const MonotonicTime limit = *attempt.NextTimeout();
  CHECK(limit == kStart + seconds(2));
  const Actions refused = attempt.OnTime(limit);
  const auto* answer = FindAction<ReportVerdictAction>(refused);
  REQUIRE(answer != nullptr);
  CHECK(answer->answer.verdict == ClaimVerdict::kRefused);
  CHECK(answer->answer.refusal.run_status == RunStatus::kAttemptNotRun);
  CHECK_FALSE(attempt.IsFinished());

  const Actions late =
      attempt.OnWritten(limit + seconds(1), StoreWriteResult::kApplied, 9);
  CHECK_FALSE(attempt.IsOwned());
  CHECK(FindAction<ReportVerdictAction>(late) == nullptr);
  const auto* update = FindAction<UpdateClaimAction>(late);
  REQUIRE(update != nullptr);
  CHECK(update->record.state == ClaimState::kReleased);
  CHECK(update->expected_version == 9);
  attempt.OnWritten(limit + seconds(1), StoreWriteResult::kApplied, 10);
  CHECK(attempt.IsFinished());
}

// Guards against "not run" being reported before the store has confirmed the
// release.
TEST_CASE("ClaimAttempt reports whether a release is confirmed") {
  struct Row {
    const char* name;
    StoreWriteResult write;
    std::optional<ClaimState> read_state;
    bool read_own_token;
    bool confirmed;
  };
  const Row rows[] = {
      {"applied", StoreWriteResult::kApplied, std::nullopt, true, true},
      {"lost answer, applied", StoreWriteResult::kUnknown,
       ClaimState::kReleased, true, true},
      {"conflict, claimed by another", StoreWriteResult::kConflict,
       ClaimState::kClaimed, false, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ClaimAttempt attempt(Options());
    attempt.Start(kStart);
    attempt.OnWritten(kStart, StoreWriteResult::kApplied, 1);
    REQUIRE(attempt.IsOwned());
    attempt.Release(kStart);
    Actions actions = attempt.OnWritten(kStart, row.write, 2);
    if (row.read_state) {
      if (row.write == StoreWriteResult::kUnknown) {
        CHECK(FindAction<ReleaseEndedAction>(actions) == nullptr);
        actions = attempt.OnTime(kStart + seconds(1));
      }
      REQUIRE(FindAction<ReadClaimAction>(actions) != nullptr);
      VersionedClaim claim = OtherClaim(*row.read_state, kFingerprint);
      if (row.read_own_token) {
        claim.record.token = kOwnToken;
      }
      actions = attempt.OnRead(kStart + seconds(1), ClaimReadResult::kFound,
                               claim, true);
    }
    const auto* ended = FindAction<ReleaseEndedAction>(actions);
    REQUIRE(ended != nullptr);
    CHECK(ended->confirmed == row.confirmed);
    CHECK(attempt.IsFinished());
  }
}

// Guards against an outcome that is lost because its first write failed.
TEST_CASE("ClaimAttempt retries the write of an outcome") {
  ClaimAttempt attempt(Options());
  attempt.Start(kStart);
  attempt.OnWritten(kStart, StoreWriteResult::kApplied, 1);
  Actions actions = attempt.Record(kStart, {.status = 201, .body = "ok"});
  MonotonicTime now = kStart;
  for (int it = 0; it < 5; ++it) {
    REQUIRE(FindAction<UpdateClaimAction>(actions) != nullptr);
    attempt.OnWritten(now, StoreWriteResult::kNotApplied, 0);
    REQUIRE(attempt.NextTimeout().has_value());
    now = *attempt.NextTimeout();
    REQUIRE(FindAction<ReadClaimAction>(attempt.OnTime(now)) != nullptr);
    VersionedClaim claim = OtherClaim(ClaimState::kClaimed, kFingerprint);
    claim.record.token = kOwnToken;
    actions = attempt.OnRead(now, ClaimReadResult::kFound, claim, true);
  }
  const auto* update = FindAction<UpdateClaimAction>(actions);
  REQUIRE(update != nullptr);
  CHECK(update->record.state == ClaimState::kDone);
  CHECK(update->record.outcome.body == "ok");
  attempt.OnWritten(now, StoreWriteResult::kApplied, 6);
  CHECK(attempt.IsFinished());
}

}  // namespace
}  // namespace flamingogauge
