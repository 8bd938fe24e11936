#include <doctest/doctest.h>

#include <chrono>

#include "libs/claims/claim_epoch_clock.h"

namespace flamingogauge {
namespace {

using std::chrono::minutes;

const MonotonicTime kStart{minutes(1000)};

// Guards against claims that expire early because a host uses an outdated epoch
// or advances an epoch before its full length.
TEST_CASE("ClaimEpochClock advances after a full epoch and expires late") {
  ClaimEpochClock clock({.epoch_length = minutes(60),
                         .retention_epochs = 24,
                         .max_read_age = minutes(10)});
  CHECK_FALSE(clock.EpochForClaim(kStart).has_value());
  CHECK_FALSE(clock.MayAdvance(kStart));
  clock.OnRead(kStart, kStart + minutes(1), 30);
  CHECK(clock.EpochForClaim(kStart + minutes(10)) == 30);
  CHECK_FALSE(clock.EpochForClaim(kStart + minutes(11)).has_value());
  CHECK_FALSE(clock.MayAdvance(kStart + minutes(60)));
  CHECK(clock.MayAdvance(kStart + minutes(61)));

  struct Row {
    std::uint64_t claim_epoch;
    bool expired;
  };
  for (const Row& row : {Row{30, false}, Row{6, false}, Row{5, true}}) {
    CAPTURE(row.claim_epoch);
    CHECK(clock.IsExpired(row.claim_epoch) == row.expired);
  }

  clock.OnRead(kStart + minutes(70), kStart + minutes(70), 29);
  CHECK(clock.EpochForClaim(kStart + minutes(5)) == 30);
  clock.OnRead(kStart + minutes(70), kStart + minutes(70), 31);
  CHECK(clock.EpochForClaim(kStart + minutes(70)) == 31);
  CHECK_FALSE(clock.MayAdvance(kStart + minutes(129)));
}

// Guards against a retention that is rounded down, which would delete claims
// early.
TEST_CASE("ClaimEpochClock rounds the retention up to whole epochs") {
  struct Row {
    minutes retention;
    std::uint64_t newest_expired;
  };
  for (const Row& row : {Row{minutes(120), 97}, Row{minutes(121), 96},
                         Row{minutes(24 * 60), 75}}) {
    CAPTURE(row.retention.count());
    ClaimEpochClock clock({.epoch_length = minutes(60)});
    clock.SetRetention(row.retention);
    clock.OnRead(kStart, kStart, 100);
    CHECK(clock.IsExpired(row.newest_expired));
    CHECK_FALSE(clock.IsExpired(row.newest_expired + 1));
  }
}

}  // namespace
}  // namespace flamingogauge
