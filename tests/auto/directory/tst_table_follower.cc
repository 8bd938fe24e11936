#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "libs/directory/table_follower.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

using Follower = TableFollower<HostEntry>;
using Page = FleetPage<HostEntry>;

FleetEntry<HostEntry> Entry(const std::string& name) {
  return {.name = name,
          .revision = 1,
          .value = std::make_shared<HostEntry>(HostEntry{.name = name})};
}

FleetEntry<HostEntry> Removal(const std::string& name) {
  return {.name = name, .revision = 2, .value = nullptr};
}

Error StoreError(ErrorCode code) {
  return {.code = code, .step = "watch", .peer = "store", .message = ""};
}

constexpr milliseconds kWatchWait{1000};

// Drives a follower with a simulated clock.
class Driver {
 public:
  TableCall Call() {
    now_ = std::max(now_, follower_.WakeAt());
    const std::optional<TableCall> call = follower_.NextCall(now_, kWatchWait);
    REQUIRE(call);
    return *call;
  }
  bool Answer(const Result<Page>& answer,
              milliseconds after = milliseconds(5)) {
    now_ += after;
    return follower_.OnAnswer(answer, now_);
  }
  void Wait(milliseconds time) { now_ += time; }
  void OnEra(std::uint64_t era) { follower_.OnEra(era, now_); }
  bool RemoveMissing() { return follower_.RemoveMissing(now_); }
  std::vector<std::string> Names() const {
    std::vector<std::string> names;
    for (const auto& [name, value] : follower_.entries()) {
      names.push_back(name);
    }
    return names;
  }
  MonotonicTime now() const { return now_; }
  const Follower& follower() const { return follower_; }

  void Resume(const std::vector<std::string>& names, std::uint64_t revision) {
    Follower::Entries entries;
    for (const std::string& it : names) {
      entries[it] = Entry(it).value;
    }
    follower_.Resume(entries, {.number = revision});
  }

  void ListAll(const std::vector<std::string>& names, std::uint64_t revision) {
    Call();
    Page page{.store_revision = {.number = revision}};
    for (const std::string& it : names) {
      page.entries.push_back(Entry(it));
    }
    Answer(page);
  }

 private:
  Follower follower_{{}};
  MonotonicTime now_{std::chrono::hours(1)};
};

using Names = std::vector<std::string>;

// Guards against losing entries at a page boundary, and against missing changes
// that happen while the pages are read.
TEST_CASE("a paginated list is watched from the revision of its first page") {
  Driver driver;
  CHECK_FALSE(driver.Call().is_watch);
  driver.Answer(Page{.entries = {Entry("a"), Entry("b")},
                     .has_more = true,
                     .store_revision = {.number = 10}});
  const TableCall second = driver.Call();
  CHECK(second.after == "b");
  driver.Answer(
      Page{.entries = {Entry("c")}, .store_revision = {.number = 12}});
  CHECK(driver.Names() == Names{"a", "b", "c"});
  const TableCall watch = driver.Call();
  CHECK(watch.is_watch);
  CHECK(watch.revision == 10);
}

// Guards against a stale list of upstreams after the store dropped its history.
TEST_CASE("lost history leads to a new list that removes missing entries") {
  Driver driver;
  driver.ListAll({"a", "b"}, 10);
  driver.Call();
  driver.Answer(StoreError(ErrorCode::kNotFound));
  CHECK_FALSE(driver.Call().is_watch);
  CHECK(driver.Names() == Names{"a", "b"});
  CHECK(driver.Answer(
      Page{.entries = {Entry("b")}, .store_revision = {.number = 20}}));
  CHECK(driver.Names() == Names{"b"});
}

// Guards against removing upstreams whose entries only expired during an outage
// of the store, and against keeping missing ones indefinitely.
TEST_CASE("after an outage missing entries are kept for the grace period") {
  Driver driver;
  driver.ListAll({"a", "b"}, 10);
  driver.Call();
  driver.Answer(StoreError(ErrorCode::kTimeout), milliseconds(2000));
  driver.Call();
  driver.Answer(StoreError(ErrorCode::kTimeout), milliseconds(2000));
  driver.Call();
  CHECK_FALSE(driver.Answer(Page{.entries = {Removal("a"), Removal("b")},
                                 .store_revision = {.number = 30}}));
  CHECK(driver.Names() == Names{"a", "b"});
  driver.Call();
  driver.Answer(Page{.entries = {Entry("b")}, .store_revision = {.number = 31}},
                milliseconds(500));
  CHECK_FALSE(driver.RemoveMissing());
  driver.Wait(milliseconds(2000));
  CHECK(driver.RemoveMissing());
  CHECK(driver.Names() == Names{"b"});
}

// Guards against delaying removals when there was no outage.
TEST_CASE("without an outage a removal is applied at once") {
  Driver driver;
  driver.ListAll({"a", "b"}, 10);
  driver.Call();
  CHECK(driver.Answer(
      Page{.entries = {Removal("a")}, .store_revision = {.number = 11}}));
  CHECK(driver.Names() == Names{"b"});
}

// Guards against accepting keys from a document that appears fresher than it
// is: a confirmation is only as recent as the start of its call, or the end of
// the wait of a watch that the store held for the whole of it.
TEST_CASE(
    "a confirmation counts from a time at which the entries were newest") {
  struct Case {
    const char* title;
    std::vector<std::string> events;
    milliseconds took;
    milliseconds confirmed_after;
  };
  for (const Case& it :
       std::vector<Case>{{"an empty watch held for its wait",
                          {},
                          milliseconds(1005),
                          kWatchWait},
                         {"an empty watch whose answer was delayed",
                          {},
                          milliseconds(3000),
                          kWatchWait},
                         {"an empty watch that was cut short",
                          {},
                          milliseconds(900),
                          milliseconds(0)},
                         {"a watch with a change",
                          {"b"},
                          milliseconds(1500),
                          milliseconds(0)}}) {
    CAPTURE(it.title);
    Driver driver;
    driver.ListAll({"a"}, 10);
    const MonotonicTime listed = driver.follower().confirmed_at();
    driver.Call();
    const MonotonicTime started = driver.now();
    CHECK(driver.follower().confirmed_at() == listed);
    Page page{.store_revision = {.number = 11}};
    for (const std::string& name : it.events) {
      page.entries.push_back(Entry(name));
    }
    driver.Answer(page, it.took);
    CHECK(driver.follower().confirmed_at() == started + it.confirmed_after);
    driver.Call();
    driver.Answer(StoreError(ErrorCode::kUnavailable));
    CHECK(driver.follower().confirmed_at() == started + it.confirmed_after);
  }
}

// Guards against a host that takes over the reading of the store and lists
// everything again, or misses what changed since the other host's last read.
TEST_CASE("a follower continues from another host's entries") {
  Driver driver;
  driver.Resume({"a", "b"}, 40);
  const TableCall watch = driver.Call();
  CHECK(watch.is_watch);
  CHECK(watch.revision == 40);
  driver.Answer(
      Page{.entries = {Removal("a")}, .store_revision = {.number = 41}});
  CHECK(driver.Names() == Names{"b"});
}

// Guards against entries of two states of the store that are mixed, after it
// has come back from an older copy: a watch from a revision that is given out
// again, pages of two eras, and answers that arrive late.
TEST_CASE("only what belongs to the current era is applied") {
  struct Step {
    // The era and revision of the answer.
    StoreRevision revision;
    Names names;
    bool has_more = false;
    // What is known after it, and the next call.
    Names known;
    bool next_is_watch = false;
    std::string next_after;
  };
  struct Row {
    std::string name;
    std::vector<Step> steps;
  };
  for (const Row& row : std::vector<Row>{
           {"a watch answered in a new era",
            {{{1, 10}, {"a", "b"}, false, {"a", "b"}, true, ""},
             {{2, 30}, {"c"}, false, {"a", "b"}, false, ""},
             {{2, 7}, {"b", "c"}, false, {"a", "b", "c"}, true, ""}}},
           {"a list whose pages come from two eras",
            {{{1, 10}, {"a"}, true, {"a"}, false, "a"},
             {{2, 4}, {"x"}, false, {"a"}, false, ""},
             {{2, 5}, {"b"}, false, {"b"}, true, ""}}},
           {"a late answer of the former era",
            {{{2, 10}, {"a"}, false, {"a"}, true, ""},
             {{1, 99}, {"x"}, false, {"a"}, true, ""},
             {{2, 11}, {"b"}, false, {"a", "b"}, true, ""}}},
           {"a second drill during the list after the first",
            {{{1, 10}, {"a"}, false, {"a"}, true, ""},
             {{2, 5}, {}, false, {"a"}, false, ""},
             {{2, 5}, {"a", "b"}, true, {"a", "b"}, false, "b"},
             {{3, 4}, {"x"}, false, {"a", "b"}, false, ""},
             {{3, 4}, {"a"}, false, {"a", "b"}, true, ""}}},
           {"a store that no longer states its era",
            {{{1, 10}, {"a"}, false, {"a"}, true, ""},
             {{0, 11}, {"b"}, false, {"a", "b"}, true, ""}}},
       }) {
    CAPTURE(row.name);
    Driver driver;
    driver.Call();
    for (const Step& step : row.steps) {
      CAPTURE(step.revision.era);
      CAPTURE(step.revision.number);
      Page page{.has_more = step.has_more, .store_revision = step.revision};
      for (const std::string& it : step.names) {
        page.entries.push_back(Entry(it));
      }
      driver.Answer(page);
      CHECK(driver.Names() == step.known);
      const TableCall next = driver.Call();
      CHECK(next.is_watch == step.next_is_watch);
      CHECK(next.after == step.next_after);
    }
  }
}

// Guards against upstreams that are dropped because the copy is older than
// their entries, and against some that stay for ever.
TEST_CASE("entries that the copy lacks are kept for the grace period") {
  Driver driver;
  driver.Call();
  Page listed{.store_revision = {.era = 1, .number = 10}};
  listed.entries = {Entry("a"), Entry("b")};
  driver.Answer(listed);
  driver.Call();
  driver.OnEra(2);
  driver.Answer(StoreError(ErrorCode::kNotFound));
  driver.Call();
  driver.Answer(
      Page{.entries = {Entry("a")}, .store_revision = {.era = 2, .number = 3}});
  CHECK(driver.Names() == Names{"a", "b"});
  CHECK_FALSE(driver.RemoveMissing());
  driver.Wait(milliseconds(2100));
  CHECK(driver.RemoveMissing());
  CHECK(driver.Names() == Names{"a"});
}

// Guards against frequent changes causing many calls, which the store charges
// for.
TEST_CASE("calls are rate-limited") {
  Driver driver;
  driver.ListAll({"a"}, 10);
  driver.Call();
  const MonotonicTime started = driver.now();
  driver.Answer(
      Page{.entries = {Entry("b")}, .store_revision = {.number = 11}});
  CHECK(driver.follower().WakeAt() - started == milliseconds(200));
  driver.Call();
  driver.Answer(StoreError(ErrorCode::kResourceExhausted));
  CHECK(driver.follower().WakeAt() - driver.now() == milliseconds(400));
}

}  // namespace
}  // namespace flamingogauge
