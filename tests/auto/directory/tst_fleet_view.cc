#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "libs/directory/fleet_view.h"
#include "libs/directory/held_questions.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr MonotonicTime kStart{std::chrono::hours(1)};

MonotonicTime At(int ms) {
  return kStart + milliseconds(ms);
}

std::shared_ptr<const RoutingTable> Routing(std::uint64_t version) {
  auto table = std::make_shared<RoutingTable>();
  table->version = version;
  return table;
}

VersionedTable<UpstreamEntry>::Entries Upstreams(
    const std::vector<std::string>& ids) {
  VersionedTable<UpstreamEntry>::Entries entries;
  for (const std::string& it : ids) {
    entries[it] = std::make_shared<UpstreamEntry>(UpstreamEntry{.id = it});
  }
  return entries;
}

// Carries a question and its reply between two views; each step takes time.
struct Journey {
  milliseconds there{1};
  milliseconds held{0};
  // A pause of the asked process after it has read its clock.
  milliseconds paused_before_sending{0};
  milliseconds back{1};
};

void AskOver(const Journey& journey,
             FleetView& asking,
             const FleetView& asked,
             MonotonicTime sent_at) {
  const RelayQuestion question = asking.QuestionFor("peer");
  RelayReply reply =
      asked.ReplyTo(question, sent_at + journey.there + journey.held);
  reply.held_for = journey.held;
  asking.ApplyReply("peer", reply, sent_at, sent_at);
}

// Guards against keys that are used longer than allowed because a confirmation
// looks newer than it is, whatever is slow, paused or held on its way.
TEST_CASE("a confirmation never becomes newer on its way") {
  for (const Journey& it :
       std::vector<Journey>{{},
                            {.there = milliseconds(900)},
                            {.held = milliseconds(700)},
                            {.paused_before_sending = milliseconds(5000)},
                            {.back = milliseconds(5000)},
                            {.there = milliseconds(300),
                            .held = milliseconds(400),
                            .back = milliseconds(800)}}) {
    CAPTURE(it.there.count());
    CAPTURE(it.held.count());
    FleetView asked(1);
    FleetView asking(2);
    asked.ApplyRouting(Routing(5), {.number = 50}, At(0));
    AskOver(it, asking, asked, At(100));
    REQUIRE(asking.routing());
    CHECK(asking.routing()->version == 5);
    CHECK(asking.routing_confirmed_at() <= At(0));
    CHECK(asking.routing_confirmed_at() >= At(0) - it.there - milliseconds(2));
  }
}

// Guards against a document that goes back, and against an older one that
// confirms the newer.
TEST_CASE("an older document is neither applied nor confirms the newer one") {
  FleetView asked(1);
  FleetView asking(2);
  asked.ApplyRouting(Routing(4), {.number = 40}, At(500));
  asking.ApplyRouting(Routing(5), {.number = 50}, At(0));
  AskOver({}, asking, asked, At(600));
  CHECK(asking.routing()->version == 5);
  CHECK(asking.routing_confirmed_at() == At(0));
}

// Guards against upstreams that come back or are missed when a host changes its
// source.
TEST_CASE("tables follow the source, also after a change of source") {
  FleetView first(1);
  FleetView second(2);
  FleetView asking(3);
  first.ReplaceUpstreams(Upstreams({"a", "b"}), {.number = 10}, At(0));
  second.ReplaceUpstreams(Upstreams({"a"}), {.number = 12}, At(0));
  asking.ApplyReply("first", first.ReplyTo(asking.QuestionFor("first"), At(0)),
                    At(0), At(0));
  CHECK(asking.upstreams().entries().size() == 2);
  // The second host's table is sent whole.
  CHECK(second.ReplyTo(asking.QuestionFor("second"), At(1))
            .upstreams.is_complete);
  asking.ApplyReply("second",
                    second.ReplyTo(asking.QuestionFor("second"), At(1)), At(1),
                    At(1));
  CHECK(asking.upstreams().entries().size() == 1);
  // The first has not seen the removal yet.
  asking.ApplyReply("first", first.ReplyTo(asking.QuestionFor("first"), At(2)),
                    At(2), At(2));
  CHECK(asking.upstreams().entries().size() == 1);
  first.ReplaceUpstreams(Upstreams({"a", "c"}), {.number = 13}, At(0));
  asking.ApplyReply("first", first.ReplyTo(asking.QuestionFor("first"), At(3)),
                    At(3), At(3));
  CHECK(asking.upstreams().entries().size() == 2);
  CHECK(asking.upstreams().entries().contains("c"));
  const RelayReply next = first.ReplyTo(asking.QuestionFor("first"), At(4));
  CHECK_FALSE(next.upstreams.is_complete);
  CHECK(next.upstreams.entries.empty());
}

// Guards against a host that has not noticed that the store came back from an
// older copy, and hands on its older picture with the higher revision.
TEST_CASE(
    "tables of a later era go before higher revisions of an earlier one") {
  FleetView noticed(1);
  FleetView behind(2);
  behind.ReplaceUpstreams(Upstreams({"a", "old"}), {.era = 1, .number = 90},
                          At(0));
  noticed.ReplaceUpstreams(Upstreams({"a", "new"}), {.era = 2, .number = 20},
                           At(0));
  CHECK_FALSE(behind.HasNewsFor(noticed.QuestionFor("behind")));
  noticed.ApplyReply("behind",
                     behind.ReplyTo(noticed.QuestionFor("behind"), At(1)),
                     At(1), At(1));
  CHECK(noticed.upstreams().entries().contains("new"));
  CHECK_FALSE(noticed.upstreams().entries().contains("old"));
  CHECK(noticed.HasNewsFor(behind.QuestionFor("noticed")));
  behind.ApplyReply("noticed",
                    noticed.ReplyTo(behind.QuestionFor("noticed"), At(2)),
                    At(2), At(2));
  CHECK(behind.upstreams().entries().contains("new"));
  CHECK(behind.era() == 2);
  CHECK_FALSE(
      behind
          .ReplaceUpstreams(Upstreams({"old"}), {.era = 1, .number = 99}, At(3))
          .upstreams);
  CHECK(behind.upstreams().entries().contains("new"));
}

// Guards against hosts that learn of a new era only with the next change.
TEST_CASE("a new era is news, also without a change") {
  FleetView asked(1);
  FleetView asking(2);
  const auto ask = [&](int ms) {
    asking.ApplyReply("asked",
                      asked.ReplyTo(asking.QuestionFor("asked"), At(ms)),
                      At(ms), At(ms));
  };
  asked.ReplaceUpstreams(Upstreams({"a"}), {.era = 1, .number = 50}, At(0));
  ask(1);
  CHECK_FALSE(asked.HasNewsFor(asking.QuestionFor("asked")));
  asked.ReplaceUpstreams(Upstreams({"a"}), {.era = 2, .number = 10}, At(2));
  CHECK(asked.HasNewsFor(asking.QuestionFor("asked")));
  ask(3);
  CHECK(asking.era() == 2);
  CHECK_FALSE(asked.HasNewsFor(asking.QuestionFor("asked")));
}

// Guards against a roll of versions in which hosts ignore those that do not
// know eras yet.
TEST_CASE("tables of a host that states no era are of the known one") {
  FleetView asked(1);
  FleetView asking(2);
  asking.ReplaceUpstreams(Upstreams({"a"}), {.era = 3, .number = 50}, At(0));
  asked.ReplaceUpstreams(Upstreams({"a", "b"}), {.number = 51}, At(0));
  RelayReply reply = asked.ReplyTo({}, At(1));
  asking.ApplyReply("asked", reply, At(1), At(1));
  CHECK(asking.upstreams().entries().size() == 2);
  CHECK(asking.era() == 3);
}

// Guards against an upstream that has left and comes back with an older copy,
// and against one that is never believed again.
TEST_CASE("an entry of an earlier era does not bring an upstream back") {
  struct Row {
    std::string name;
    // The entry at the end of the first era.
    bool drains = false;
    bool is_removed = false;
    // In the second one.
    std::int64_t started_at_ms = 1;
    std::uint64_t era = 2;
    // Whether it is in use at once, and ten seconds later.
    bool is_used = false;
    bool is_used_later = false;
  };
  for (const Row& row : std::vector<Row>{
           {"it drained", true, false, 1, 2, false, false},
           {"it drained and was removed", true, true, 1, 2, false, false},
           {"its entry was removed", false, true, 1, 2, false, true},
           {"another process of the same id", true, true, 2, 2, true, true},
           {"its entry lapsed and returns", false, true, 1, 1, true, true},
           {"it did not leave", false, false, 1, 2, true, true},
       }) {
    CAPTURE(row.name);
    FleetView view(1);
    const auto replace = [&view](UpstreamEntry entry, StoreRevision revision,
                                 int ms) {
      view.ReplaceUpstreams(
          {{"u", std::make_shared<UpstreamEntry>(std::move(entry))}}, revision,
          At(ms));
    };
    const auto is_used = [&view] {
      const auto it = view.upstreams().entries().find("u");
      return it != view.upstreams().entries().end() && !it->second->draining;
    };
    replace({.id = "u", .started_at_ms = 1}, {.era = 1, .number = 10}, 0);
    replace({.id = "u", .draining = row.drains, .started_at_ms = 1},
            {.era = 1, .number = 11}, 1000);
    if (row.is_removed) {
      view.ReplaceUpstreams({}, {.era = 1, .number = 12}, At(2000));
    }
    replace({.id = "u", .started_at_ms = row.started_at_ms},
            {.era = row.era, .number = row.era == 1 ? 20U : 8U}, 5000);
    CHECK(is_used() == row.is_used);
    view.Advance(At(6000));
    CHECK(is_used() == row.is_used);
    view.Advance(At(15000));
    CHECK(is_used() == row.is_used_later);
    view.ReplaceUpstreams({}, {.era = row.era, .number = 30}, At(16000));
    CHECK_FALSE(view.upstreams().entries().contains("u"));
    CHECK_FALSE(view.Advance(At(30000)).upstreams);
  }
}

// Guards against a draining upstream that counts as one of the new era because
// another field of its entry has changed there.
TEST_CASE("a change of a draining entry does not make the copy believed") {
  FleetView view(1);
  const auto replace = [&view](UpstreamEntry entry, StoreRevision revision) {
    view.ReplaceUpstreams(
        {{"u", std::make_shared<UpstreamEntry>(std::move(entry))}}, revision,
        At(0));
    return view.upstreams().entries().at("u")->draining;
  };
  CHECK_FALSE(replace({.id = "u", .slots = 4}, {.era = 1, .number = 10}));
  CHECK(replace({.id = "u", .slots = 4, .draining = true},
                {.era = 1, .number = 11}));
  CHECK(replace({.id = "u", .slots = 3}, {.era = 2, .number = 5}));
  CHECK(replace({.id = "u", .slots = 3}, {.era = 2, .number = 6}));
  CHECK(replace({.id = "u", .slots = 2}, {.era = 3, .number = 6}));
}

// Guards against replies that come late although there is news, and against
// a stream of replies without news.
TEST_CASE("a question is held until there is news or its wait has passed") {
  constexpr milliseconds kWait{600};
  constexpr milliseconds kRecentAge{500};
  struct Case {
    const char* title;
    StoreReading reading;
    bool is_stale;
    bool is_probe;
    bool has_news;
    int confirmed_at_ms;
    int due_at_ms;
    bool follows_store;
  };
  for (const Case& it : std::vector<Case>{
           {"no news", StoreReading::kWorking, false, false, false, 0, 600,
            true},
           {"news", StoreReading::kWorking, false, false, true, 0, 0, true},
           {"a stale host, a recent confirmation", StoreReading::kWorking, true,
            false, false, 0, 0, true},
           {"a stale host, an old confirmation", StoreReading::kWorking, true,
            false, false, -501, 600, true},
           {"a probe of a reader", StoreReading::kWorking, false, true, true, 0,
            0, true},
           {"a probe of a host that starts", StoreReading::kStarting, false,
            true, false, 0, 100, false},
           {"a host that does not read", StoreReading::kNone, false, false,
            false, 0, 100, false},
           {"a host whose store fails", StoreReading::kFailing, false, false,
            false, 0, 100, false}}) {
    CAPTURE(it.title);
    FleetView view(1);
    FleetView asking(2);
    view.ApplyRouting(Routing(5), {.number = 50}, At(it.confirmed_at_ms));
    asking.ApplyReply("peer", view.ReplyTo(asking.QuestionFor("peer"), At(0)),
                      At(0), At(0));
    RelayQuestion question = asking.QuestionFor("peer");
    question.is_stale = it.is_stale;
    question.is_probe = it.is_probe;
    question.wait = it.is_probe ? milliseconds(0) : kWait;
    if (it.has_news) {
      view.ApplyRouting(Routing(6), {.number = 51}, At(it.confirmed_at_ms));
    }
    HeldQuestions held;
    std::vector<RelayReply> replies;
    held.Add(
        question,
        [&replies](RelayReply reply) { replies.push_back(std::move(reply)); },
        At(0));
    int replied_at_ms = -1;
    for (int ms = 0; ms <= 1000 && replies.empty(); ms += 50) {
      held.ReplyToDue(view, it.reading, kRecentAge, At(ms));
      replied_at_ms = ms;
    }
    REQUIRE(replies.size() == 1);
    CHECK(replied_at_ms == it.due_at_ms);
    CHECK(replies[0].follows_store == it.follows_store);
    CHECK(replies[0].held_for == milliseconds(it.due_at_ms));
    CHECK((replies[0].routing != nullptr) == (it.has_news && !it.is_probe));
    CHECK(held.size() == 0);
  }
}

}  // namespace
}  // namespace flamingogauge
