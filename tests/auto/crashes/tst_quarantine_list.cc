#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>
#include <vector>

#include "libs/crashes/quarantine_list.h"
#include "libs/kernel/random.h"

namespace flamingogauge {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;

constexpr Fingerprint kFingerprint{.high = 1, .low = 2};
constexpr MonotonicTime kStart{hours(1)};

// Guards against a quarantine that is extended by repeated messages, that
// survives its release, or that is restored by a delayed message.
TEST_CASE("QuarantineList merges decisions once and lets them expire") {
  QuarantineList a({.high = 1, .low = 1}, {});
  QuarantineList b({.high = 2, .low = 2}, {});
  const QuarantineRecord first = a.Quarantine(kFingerprint, hours(1), kStart);
  CHECK(b.Merge(first, kStart));
  CHECK_FALSE(b.Merge(first, kStart + minutes(30)));
  CHECK(b.IsQuarantined(kFingerprint, kStart + minutes(59)));
  CHECK_FALSE(b.IsQuarantined(kFingerprint, kStart + minutes(60)));

  QuarantineRecord release;
  REQUIRE(b.Release(kFingerprint, kStart + minutes(1), &release));
  CHECK_FALSE(b.Release(kFingerprint, kStart + minutes(1), &release));
  CHECK(a.Merge(release, kStart + minutes(1)));
  CHECK_FALSE(a.Merge(first, kStart + minutes(2)));
  CHECK_FALSE(a.IsQuarantined(kFingerprint, kStart + minutes(2)));
  CHECK(a.Digest(kStart + minutes(2)) == b.Digest(kStart + minutes(2)));

  a.Quarantine(kFingerprint, hours(1), kStart + minutes(3));
  CHECK_FALSE(a.Merge(release, kStart + minutes(3)));
  CHECK(a.IsQuarantined(kFingerprint, kStart + minutes(4)));
  a.Expire(kStart + hours(3));
  CHECK(a.size() == 0);
}

// Guards against lists that diverge because messages were reordered, duplicated
// or delayed, and against unbounded growth.
TEST_CASE("Lists agree after random decisions in any order") {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    INFO("seed " << seed);
    Random random(seed);
    std::vector<QuarantineList> hosts;
    for (std::uint64_t n = 0; n < 5; ++n) {
      hosts.emplace_back(Incarnation{.high = n, .low = random.Next()},
                         QuarantineList::Options{.max_records = 64});
    }
    std::vector<QuarantineRecord> sent_records;
    MonotonicTime now = kStart;
    for (int step = 0; step < 300; ++step) {
      now += milliseconds(random.NextBelow(50));
      QuarantineList& host = hosts[random.NextBelow(hosts.size())];
      const Fingerprint fingerprint{.high = 0, .low = random.NextBelow(20)};
      QuarantineRecord record;
      if (random.NextBool(0.2)) {
        sent_records.push_back(host.Quarantine(fingerprint, hours(1), now));
      } else if (random.NextBool(0.2)) {
        if (host.Release(fingerprint, now, &record)) {
          sent_records.push_back(record);
        }
      } else if (!sent_records.empty()) {
        host.Merge(sent_records[random.NextBelow(sent_records.size())], now);
      }
    }
    for (const QuarantineList& from : hosts) {
      for (const QuarantineRecord& record : from.Records(now)) {
        for (QuarantineList& to : hosts) {
          to.Merge(record, now);
        }
      }
    }
    for (const QuarantineList& host : hosts) {
      CHECK(host.Digest(now) == hosts[0].Digest(now));
    }
    for (std::uint64_t n = 0; n < 200; ++n) {
      hosts[0].Quarantine({.high = 9, .low = n}, hours(1), now);
    }
    CHECK(hosts[0].size() <= 64);
  }
}

}  // namespace
}  // namespace flamingogauge
