#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "libs/dispatching/crash_quarantine.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr MonotonicTime kStart{std::chrono::hours(1)};

RequestKeys Request(std::uint64_t id, std::vector<std::uint64_t> parts = {}) {
  return {.request = id, .prompt_parts = std::move(parts)};
}

SuspectKey RequestKey(std::uint64_t id) {
  return {.kind = SuspectKey::Kind::kRequest, .id = id};
}

// Records a crash of each of `upstreams` different upstreams under the request,
// one a second, and returns the time after the last one.
MonotonicTime Crash(CrashQuarantine& quarantine,
                    const RequestKeys& keys,
                    int upstreams,
                    MonotonicTime now) {
  for (int n = 0; n < upstreams; ++n) {
    quarantine.OnCrash(100U + static_cast<std::uint64_t>(n), keys, now, now);
    now += seconds(1);
  }
  return now;
}

bool IsRefused(CrashQuarantine& quarantine,
               const RequestKeys& keys,
               MonotonicTime now) {
  return quarantine.FindQuarantined(keys, now).has_value();
}

// Guards against a request that crashes upstreams one after another, on
// different ones or on one that returns, and against counting a crash twice.
TEST_CASE("a request is quarantined after three crashes") {
  struct Row {
    std::string name;
    std::vector<std::uint64_t> upstreams;
    milliseconds interval;
    bool is_refused;
  };
  for (const Row& row : {
           Row{"two upstreams", {1, 2}, seconds(1), false},
           Row{"three upstreams at once", {1, 2, 3}, milliseconds(0), true},
           Row{"one upstream that returns", {1, 1, 1}, seconds(4), true},
           Row{"one crash, reported thrice",
               {1, 1, 1},
               milliseconds(100),
               false},
           Row{"long apart", {1, 2, 3}, seconds(31), false},
       }) {
    CAPTURE(row.name);
    CrashQuarantine quarantine;
    MonotonicTime now = kStart;
    for (const std::uint64_t it : row.upstreams) {
      CHECK_FALSE(IsRefused(quarantine, Request(7), now));
      now += row.interval;
      quarantine.OnCrash(it, Request(7), now, now);
    }
    CHECK(IsRefused(quarantine, Request(7), now) == row.is_refused);
    CHECK_FALSE(IsRefused(quarantine, Request(8), now));
  }
}

// Guards against refusing what was lost beside a crashing request.
TEST_CASE("requests lost beside a quarantined one are not blamed") {
  CrashQuarantine quarantine;
  MonotonicTime now = kStart;
  for (std::uint64_t upstream = 1; upstream <= 3; ++upstream) {
    quarantine.OnCrash(upstream, Request(7), now, now);
    quarantine.OnCrash(upstream, Request(8), now, now);
    now += seconds(1);
    if (upstream == 2) {
      quarantine.OnSound(Request(8), now, now);
    }
  }
  CHECK(IsRefused(quarantine, Request(7), now));
  CHECK_FALSE(IsRefused(quarantine, Request(8), now));
}

// Guards against a host that starts anew, or was cut off for a while, running a
// request that the others refuse.
TEST_CASE("a quarantine is reported for as long as it lasts") {
  CrashQuarantine known;
  const MonotonicTime now = Crash(known, Request(7), 3, kStart);
  for (const auto after : {seconds(0), seconds(6), seconds(50)}) {
    CAPTURE(after.count());
    CrashQuarantine restarted;
    CHECK_FALSE(IsRefused(restarted, Request(7), now + after));
    restarted.Merge(known.Report(now + after), now + after);
    CHECK(IsRefused(restarted, Request(7), now + after));
    CHECK(restarted.TakeChanges().size() == 1);
    // It has no record of the crashes, but passes the decision on.
    CHECK(restarted.Report(now + after).quarantined.size() == 1);
  }
}

// Guards against a quarantine that lasts longer with each message between
// hosts.
TEST_CASE("passing a quarantine on does not extend it") {
  CrashQuarantine a;
  CrashQuarantine b;
  MonotonicTime now = Crash(a, Request(7), 3, kStart);
  const MonotonicTime began = now;
  while (now < began + seconds(59)) {
    // Each message is 40 ms under way.
    const CrashEvidence from_a = a.Report(now);
    const CrashEvidence from_b = b.Report(now);
    now += milliseconds(40);
    b.Merge(from_a, now);
    a.Merge(from_b, now);
  }
  CHECK(IsRefused(b, Request(7), began + seconds(50)));
  CHECK_FALSE(IsRefused(a, Request(7), began + seconds(61)));
  CHECK_FALSE(IsRefused(b, Request(7), began + seconds(61)));
}

// Guards against a request that is refused for ever, and against one that
// crashes three more upstreams after each quarantine.
TEST_CASE("after a quarantine, the first crash renews it for twice as long") {
  CrashQuarantine quarantine;
  MonotonicTime now = Crash(quarantine, Request(7), 3, kStart);
  for (const auto length : {seconds(60), seconds(120), seconds(240)}) {
    CAPTURE(length.count());
    CHECK(IsRefused(quarantine, Request(7), now));
    CHECK(IsRefused(quarantine, Request(7), now + length - seconds(3)));
    now += length + seconds(1);
    CHECK_FALSE(IsRefused(quarantine, Request(7), now));
    quarantine.OnCrash(1, Request(7), now, now);
  }
  CHECK(IsRefused(quarantine, Request(7), now));
  CHECK_FALSE(IsRefused(quarantine, Request(7), now + std::chrono::hours(3)));
}

// Guards against refusing a request that has become sound, here or on another
// host.
TEST_CASE("a quarantine ends once a response was written") {
  CrashQuarantine here;
  CrashQuarantine there;
  MonotonicTime now = Crash(here, Request(7), 3, kStart);
  there.Merge(here.Report(now), now);
  REQUIRE(IsRefused(there, Request(7), now));
  // The response began after the last crash, before the quarantine was known.
  there.OnSound(Request(7), now, now + milliseconds(600));
  now += milliseconds(700);
  CHECK_FALSE(IsRefused(there, Request(7), now));
  here.Merge(there.Report(now), now);
  CHECK_FALSE(IsRefused(here, Request(7), now));
  // An older message about the quarantine does not renew it.
  CrashQuarantine third;
  third.Merge({.quarantined = {{.key = RequestKey(7), .age = seconds(1)}}},
              now);
  there.Merge(third.Report(now), now);
  CHECK_FALSE(IsRefused(there, Request(7), now));
}

// Guards against a prompt part that crashes upstreams under ever new requests,
// and against refusing parts for the company they kept.
TEST_CASE("a prompt part is quarantined once crashes prove it") {
  struct Row {
    std::string name;
    // The requests lost in each crash.
    std::vector<std::vector<RequestKeys>> crashes;
    // Parts with which a response is written before, and after, each crash.
    std::vector<std::uint64_t> sound_before;
    std::vector<std::uint64_t> sound_between;
    // Of the parts 1, 2 and 9.
    std::vector<std::uint64_t> refused;
  };
  for (const Row& row : {
           Row{"two requests",
               {{Request(1, {1, 9})}, {Request(2, {1, 9})}},
               {},
               {},
               {}},
           Row{"three requests, a part of which is in use",
               {{Request(1, {1, 9})},
                {Request(2, {1, 9})},
                {Request(3, {1, 9})}},
               {},
               {1},
               {9}},
           Row{"the first part crashes",
               {{Request(1, {9, 1})},
                {Request(2, {9, 1})},
                {Request(3, {9, 1})}},
               {},
               {1},
               {9}},
           Row{"a part that was in use before is less suspect",
               {{Request(1, {9, 1})},
                {Request(2, {9, 1})},
                {Request(3, {9, 1})}},
               {1},
               {},
               {9}},
           Row{"nothing else is known: the part that fewer requests share",
               {{Request(1, {1, 2})},
                {Request(2, {1, 2})},
                {Request(3, {1, 2})}},
               {},
               {},
               {2}},
           Row{"one request thrice is to blame itself",
               {{Request(1, {1, 9})},
                {Request(1, {1, 9})},
                {Request(1, {1, 9})}},
               {},
               {},
               {}},
           Row{"two requests, repeated",
               {{Request(1, {1, 9})},
                {Request(1, {1, 9})},
                {Request(1, {1, 9})},
                {Request(2, {1, 9})},
                {Request(2, {1, 9})}},
               {},
               {1},
               {9}},
           Row{"beside other requests",
               {{Request(1, {1, 9}), Request(11, {1}), Request(12, {1, 2})},
                {Request(2, {1, 9}), Request(13, {1}), Request(14, {1, 2})},
                {Request(3, {1, 9}), Request(15, {1, 2})}},
               {},
               {1, 2},
               {9}},
           Row{"a part that turned bad",
               {{Request(1, {1, 9})},
                {Request(2, {1, 9})},
                {Request(3, {1, 9})},
                {Request(4, {1, 9})},
                {Request(5, {1, 9})}},
               {9},
               {1},
               {9}},
           Row{"a part that was sound, in four crashes",
               {{Request(1, {1, 9})},
                {Request(2, {1, 9})},
                {Request(3, {1, 9})},
                {Request(4, {1, 9})}},
               {9},
               {1},
               {}},
           Row{"crashes with a part that is in use all the time",
               {{Request(1, {1, 2})},
                {Request(2, {1, 2})},
                {Request(3, {1, 2})},
                {Request(4, {1, 2})},
                {Request(5, {1, 2})},
                {Request(6, {1, 2})}},
               {},
               {1, 2},
               {}},
       }) {
    CAPTURE(row.name);
    CrashQuarantine quarantine;
    MonotonicTime now = kStart;
    quarantine.OnSound(Request(50, row.sound_before), now, now);
    std::uint64_t upstream = 100;
    for (const auto& lost : row.crashes) {
      now += seconds(1);
      ++upstream;
      for (const RequestKeys& it : lost) {
        quarantine.OnCrash(upstream, it, now, now);
      }
      now += seconds(1);
      quarantine.OnSound(Request(51, row.sound_between), now, now);
    }
    for (const std::uint64_t part : {1, 2, 9}) {
      CAPTURE(part);
      const bool is_listed = std::find(row.refused.begin(), row.refused.end(),
                                       part) != row.refused.end();
      CHECK(IsRefused(quarantine, Request(60, {part}), now) == is_listed);
    }
    CHECK_FALSE(IsRefused(quarantine, Request(60), now));
  }
}

// Guards against a crash that is blamed on a second part or request once the
// first one is known.
TEST_CASE("crashes that a quarantined part explains count against no other") {
  CrashQuarantine quarantine;
  MonotonicTime now = kStart;
  for (std::uint64_t n = 1; n <= 8; ++n) {
    quarantine.OnCrash(n, Request(n, {1, 9}), now, now);
    if (!IsRefused(quarantine, Request(77), now)) {
      quarantine.OnCrash(n, Request(77, {3, 4}), now, now);
    }
    now += milliseconds(200);
    quarantine.OnSound(Request(50, {1}), now, now);
  }
  now += seconds(1);
  CHECK(IsRefused(quarantine, Request(60, {9}), now));
  CHECK(quarantine.quarantined_count(now) == 1);
  CHECK_FALSE(IsRefused(quarantine, Request(77), now));
  CHECK_FALSE(IsRefused(quarantine, Request(60, {3, 4}), now));
}

// The evidence of crashes one second apart, the last one a second before the
// message; each under another request with the part 9, and some of them also
// under the sound request 77.
CrashEvidence PartCrashes(int first, int last, std::vector<int> also_sound) {
  CrashEvidence evidence;
  for (int n = first; n <= last; ++n) {
    const auto upstream = 100U + static_cast<std::uint64_t>(n);
    const milliseconds age = seconds(1 + last - n);
    evidence.crashes.push_back(
        {.upstream = upstream, .keys = Request(upstream, {1, 9}), .age = age});
    if (std::find(also_sound.begin(), also_sound.end(), n) !=
        also_sound.end()) {
      evidence.crashes.push_back(
          {.upstream = upstream, .keys = Request(77, {1, 3}), .age = age});
    }
  }
  return evidence;
}

// Guards against a host that ends a quarantine on all hosts because of the few
// crashes that it knows: it was cut off, or has restarted, since the others
// decided.
TEST_CASE("a host that lacks the proof does not end a quarantine") {
  struct Row {
    std::string name;
    // The first of the eight crashes that the host learned of.
    int first_known;
    // The crashes in which a sound request was lost as well.
    std::vector<int> also_sound;
  };
  for (const Row& row : {
           Row{"as many crashes of each", 6, {6, 7, 8}},
           Row{"the request was lost more often", 6, {5, 6, 7, 8}},
           Row{"half of the proof", 3, {5, 6, 7, 8}},
       }) {
    CAPTURE(row.name);
    const MonotonicTime now = kStart;
    // The others decided after the fourth crash, 3.4 s ago.
    const CrashEvidence decision{
        .quarantined = {
            {.key = {.kind = SuspectKey::Kind::kPromptPart, .id = 9},
             .age = milliseconds(3400)}}};
    CrashQuarantine late;
    late.Merge(decision, now);
    // Of the request's crashes it may know more than of the part's.
    CrashEvidence known = PartCrashes(row.first_known, 8, row.also_sound);
    for (const CrashRecord& it : PartCrashes(1, 8, row.also_sound).crashes) {
      if (it.keys.request == 77) {
        known.crashes.push_back(it);
      }
    }
    late.Merge(known, now);
    CHECK(IsRefused(late, Request(60, {9}), now + seconds(1)));
    // Nor does it end the quarantine at the others.
    CrashQuarantine other;
    other.Merge(decision, now);
    other.Merge(late.Report(now + seconds(1)), now + seconds(1));
    CHECK(IsRefused(other, Request(60, {9}), now + seconds(1)));
  }
}

// Guards against sound requests that are refused for a minute because a host
// knew its own lost requests only when it decided.
TEST_CASE("a host that knows the proof ends a quarantine by a better one") {
  CrashQuarantine hasty;
  MonotonicTime now = kStart;
  // Only its own requests, which share the part 1.
  for (std::uint64_t n = 1; n <= 3; ++n) {
    hasty.OnCrash(n, Request(n, {1, n + 10}), now, now);
    now += seconds(1);
  }
  REQUIRE(IsRefused(hasty, Request(60, {1}), now));
  CrashQuarantine informed;
  informed.Merge(hasty.Report(now), now);
  REQUIRE(IsRefused(informed, Request(60, {1}), now));
  // Other hosts have lost requests with the part 9 in these crashes, and in a
  // fourth one.
  CrashEvidence evidence;
  for (std::uint64_t n = 1; n <= 4; ++n) {
    evidence.crashes.push_back({.upstream = n,
                                .keys = Request(n + 20, {n + 30, 9}),
                                .age = seconds(4 - n)});
  }
  informed.Merge(evidence, now);
  now += seconds(1);
  CHECK_FALSE(IsRefused(informed, Request(60, {1}), now));
  CHECK(IsRefused(informed, Request(60, {9}), now));
  hasty.Merge(informed.Report(now), now);
  CHECK_FALSE(IsRefused(hasty, Request(60, {1}), now));
}

// Guards against a sound request that stays refused on a host that learns of
// the last crash a moment later than of the decision on it.
TEST_CASE("the proof of a quarantine may arrive after it") {
  CrashQuarantine quarantine;
  const MonotonicTime now = kStart;
  quarantine.Merge(
      {.quarantined = {{.key = RequestKey(77), .age = milliseconds(150)}}},
      now);
  REQUIRE(IsRefused(quarantine, Request(77), now));
  quarantine.Merge(PartCrashes(1, 4, {2, 3, 4}), now + milliseconds(900));
  // The last crash was 50 ms after the decision by the clock of this host.
  CHECK_FALSE(IsRefused(quarantine, Request(77), now + seconds(1)));
  CHECK(IsRefused(quarantine, Request(60, {9}), now + seconds(1)));
}

// Guards against a host that was cut off, blames what it knows, and ends a
// quarantine on all hosts when it comes back.
TEST_CASE("a host that was cut off does not end a quarantine of the others") {
  CrashQuarantine cut_off;
  CrashQuarantine other;
  MonotonicTime now = kStart;
  // Both know three crashes under requests with the part 9.
  const CrashEvidence shared = PartCrashes(1, 3, {});
  cut_off.Merge(shared, now);
  other.Merge(shared, now);
  REQUIRE(IsRefused(cut_off, Request(60, {9}), now));
  REQUIRE(IsRefused(other, Request(60, {9}), now));
  // Of the next crashes it knows its own lost requests only, none of which has
  // the part 9. It does not learn that part 1 is in use elsewhere.
  for (std::uint64_t n = 11; n <= 14; ++n) {
    cut_off.OnCrash(n, Request(n, {1, 30 + n}), now, now);
    now += seconds(1);
    other.OnSound(Request(61, {1}), now, now);
  }
  CHECK(IsRefused(cut_off, Request(60, {1}), now));
  const CrashEvidence after_cut = cut_off.Report(now);
  cut_off.Merge(other.Report(now), now);
  other.Merge(after_cut, now);
  now += milliseconds(100);
  CHECK(IsRefused(other, Request(60, {9}), now));
  CHECK(IsRefused(cut_off, Request(60, {9}), now));
  CHECK_FALSE(IsRefused(cut_off, Request(60, {1}), now));
}

// Guards against a flood of crashes that displaces the newest evidence, and
// against messages and records without bound.
TEST_CASE("in a flood of crashes the newest evidence is kept and reported") {
  CrashQuarantine quarantine;
  MonotonicTime now = kStart;
  for (std::uint64_t n = 0; n < 3000; ++n) {
    quarantine.OnCrash(1000 + n, Request(1000 + n), now, now);
    now += milliseconds(1);
  }
  now = Crash(quarantine, Request(7), 3, now);
  CHECK(IsRefused(quarantine, Request(7), now));
  CHECK(quarantine.suspect_count() <= 512);
  const CrashEvidence report = quarantine.Report(now);
  CHECK(report.crashes.size() <= 64);
  CHECK(report.crashes.front().keys == Request(7));
}

// Guards against suspects that were sound, or quarantined keys, of which other
// hosts never learn because a message has no room for all.
TEST_CASE("what has no room in a report is in one of the next") {
  constexpr std::size_t kKeys = 150;
  CrashQuarantine from;
  MonotonicTime now = kStart;
  CrashEvidence evidence;
  for (std::uint64_t n = 1; n <= kKeys; ++n) {
    evidence.quarantined.push_back({.key = RequestKey(n)});
    from.OnCrash(1000 + n, Request(1000 + n), now, now);
    from.OnSound(Request(1000 + n), now, now + milliseconds(1));
  }
  from.Merge(evidence, now);
  std::vector<std::uint64_t> quarantined;
  std::vector<std::uint64_t> sound;
  for (int n = 0; n < 5; ++n) {
    now += milliseconds(50);
    const CrashEvidence report = from.Report(now);
    CHECK(report.quarantined.size() == 32);
    CHECK(report.sound.size() == 64);
    for (const QuarantinedKey& it : report.quarantined) {
      quarantined.push_back(it.key.id);
    }
    for (const SoundKey& it : report.sound) {
      sound.push_back(it.key.id);
    }
  }
  for (std::uint64_t n = 1; n <= kKeys; ++n) {
    CAPTURE(n);
    CHECK(std::count(quarantined.begin(), quarantined.end(), n) >= 1);
    CHECK(std::count(sound.begin(), sound.end(), 1000 + n) >= 1);
  }
}

}  // namespace
}  // namespace flamingogauge
