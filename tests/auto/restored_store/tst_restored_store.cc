// The platform's store is away for a moment and comes back from an older copy:
// its revisions go back and are given out again.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "tests/auto/platform_adapter/directory_fleet.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kAway{1500};
// The time in which hosts learn of the newest revision without a change.
constexpr milliseconds kWatchTime{1200};
// The time in which hosts follow a change.
constexpr milliseconds kFollowTime{2500};

const UpstreamEntry* FindUpstream(const FleetSnapshot& snapshot,
                                  const std::string& id) {
  const auto& upstreams = *snapshot.upstreams;
  const auto it = std::find_if(
      upstreams.begin(), upstreams.end(),
      [&id](const UpstreamEntry& entry) { return entry.id == id; });
  return it == upstreams.end() ? nullptr : &*it;
}

bool IsUsable(const FleetSnapshot& snapshot, const std::string& id) {
  const UpstreamEntry* upstream = FindUpstream(snapshot, id);
  return upstream != nullptr && !upstream->draining;
}

// True if the condition holds at all hosts, or does so in time.
template <typename Condition>
bool AllWithin(const Directories& directories,
               milliseconds time,
               Condition condition) {
  const auto limit = std::chrono::steady_clock::now() + time;
  for (;;) {
    if (std::all_of(directories.begin(), directories.end(),
                    [&condition](const auto& it) {
                      return condition(it->snapshot());
                    })) {
      return true;
    }
    if (std::chrono::steady_clock::now() > limit) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(10));
  }
}

// Changes that no host follows, so that revisions go on.
void ChangeOthers(FakeObjectStore& fake, int count) {
  for (int n = 0; n < count; ++n) {
    fake.Put("notes", "n" + std::to_string(n), "{}");
  }
}

// The store is away, and comes back from the copy.
void PlayDrill(FakeObjectStore& fake) {
  fake.SetFault(StoreFault::kUnavailable);
  std::this_thread::sleep_for(kAway);
  fake.RestoreCopy();
  fake.SetFault(StoreFault::kNone);
}

// Guards against hosts that go by revisions of before the drill: they miss what
// is written again and changes after it, or go back to what the copy holds.
TEST_CASE("hosts follow a store that comes back from an older copy") {
  struct Row {
    std::string name;
    int hosts = 1;
    // Until the operator and the upstreams have written again.
    milliseconds rewritten_after{0};
    // Changes of others after the drill, which reuse revisions.
    int later_changes = 0;
  };
  for (const Row& row : std::vector<Row>{
           {"one host", 1, milliseconds(200)},
           {"several hosts", 3, milliseconds(200)},
           {"written again late", 3, milliseconds(3000)},
           {"revisions beyond those of before", 3, milliseconds(200), 40},
       }) {
    CAPTURE(row.name);
    FakeObjectStore fake;
    fake.SetStatesEra(true);
    fake.Put("config", "main", Manifest(1));
    fake.Put("servers", "a", Upstream("ready"));
    const Directories directories = StartHosts(fake, row.hosts);
    REQUIRE(WaitUntilSettled(directories, 1));
    fake.TakeCopy();
    fake.Put("config", "main", Manifest(2));
    fake.Put("servers", "b", Upstream("ready"));
    ChangeOthers(fake, 12);
    REQUIRE(AllWithin(directories, kFollowTime, [](const FleetSnapshot& it) {
      return HasVersion(it, 2) && IsUsable(it, "b");
    }));
    std::this_thread::sleep_for(kWatchTime);
    PlayDrill(fake);
    ChangeOthers(fake, row.later_changes);
    std::this_thread::sleep_for(row.rewritten_after);
    for (const auto& it : directories) {
      CHECK(HasVersion(it->snapshot(), 2));
    }
    fake.Put("config", "main", Manifest(2));
    fake.Put("servers", "b", Upstream("ready"));
    std::this_thread::sleep_for(kFollowTime);
    fake.Put("servers", "a", Upstream("draining"));
    fake.Put("config", "main", Manifest(3));
    CHECK(AllWithin(directories, kFollowTime, [](const FleetSnapshot& it) {
      return HasVersion(it, 3) && !IsUsable(it, "a") && IsUsable(it, "b");
    }));
    for (const auto& it : directories) {
      CHECK(it->snapshot().hosts->size() ==
            static_cast<std::size_t>(row.hosts));
    }
  }
}

// Guards against requests to an upstream that has left, because the copy still
// lists it as ready.
TEST_CASE("an upstream that has left before the drill stays left") {
  for (const bool is_draining : {true, false}) {
    CAPTURE(is_draining);
    FakeObjectStore fake;
    fake.SetStatesEra(true);
    fake.Put("config", "main", Manifest(1));
    fake.Put("servers", "a", Upstream("ready"));
    fake.Put("servers", "b", Upstream("ready"));
    const Directories directories = StartHosts(fake, 3);
    REQUIRE(WaitUntilSettled(directories, 1));
    fake.TakeCopy();
    if (is_draining) {
      fake.Put("servers", "b", Upstream("draining"));
    } else {
      fake.Remove("servers", "b");
    }
    REQUIRE(AllWithin(directories, kFollowTime, [](const FleetSnapshot& it) {
      return !IsUsable(it, "b");
    }));
    PlayDrill(fake);
    ChangeOthers(fake, 20);
    // Until the entry lapses in the store.
    const auto end = std::chrono::steady_clock::now() + milliseconds(3600);
    bool was_usable = false;
    while (std::chrono::steady_clock::now() < end) {
      for (const auto& it : directories) {
        was_usable |= IsUsable(it->snapshot(), "b");
      }
      std::this_thread::sleep_for(milliseconds(10));
    }
    CHECK_FALSE(was_usable);
    CHECK(AllWithin(directories, kFollowTime,
                    [](const FleetSnapshot& it) { return IsUsable(it, "a"); }));
    fake.Remove("servers", "b");
    CHECK(AllWithin(directories, kFollowTime, [](const FleetSnapshot& it) {
      return FindUpstream(it, "b") == nullptr;
    }));
  }
}

// Guards against hosts that the others no longer know, because their entries
// were written after the copy was taken.
TEST_CASE("hosts write their entries again and stay known to each other") {
  constexpr int kHosts = 3;
  FakeObjectStore fake;
  fake.SetStatesEra(true);
  fake.Put("config", "main", Manifest(1));
  fake.Put("servers", "a", Upstream("ready"));
  fake.TakeCopy();
  const Directories directories = StartHosts(fake, kHosts);
  REQUIRE(WaitUntilSettled(directories, 1));
  PlayDrill(fake);
  const auto end = std::chrono::steady_clock::now() + milliseconds(6000);
  std::size_t fewest = kHosts;
  while (std::chrono::steady_clock::now() < end) {
    for (const auto& it : directories) {
      fewest = std::min(fewest, it->snapshot().hosts->size());
    }
    std::this_thread::sleep_for(milliseconds(10));
  }
  CHECK(fewest == kHosts);
  for (int n = 0; n < kHosts; ++n) {
    CAPTURE(n);
    CHECK(fake.Spec("flamingogauge-hosts", "h" + std::to_string(n)) != "");
  }
}

}  // namespace
}  // namespace flamingogauge
