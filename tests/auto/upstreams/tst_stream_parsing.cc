#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "libs/kernel/random.h"
#include "plugins/upstreams/sse_parser.h"
#include "plugins/upstreams/stream_assembler.h"

namespace flamingogauge {
namespace {

// Guards against events lost or merged at the boundary of two reads.
TEST_CASE("events are the same however the bytes are split") {
  const std::string bytes =
      ": comment\r\nid: 0\r\ndata: a\r\n\r\nid:1\ndata:b\ndata: c\n\n"
      "event: x\n\nid: no\ndata: {\"k\": \"v\"}\n\n";
  for (std::size_t step = 1; step <= bytes.size(); ++step) {
    SseParser parser;
    std::vector<SseEvent> events;
    for (std::size_t i = 0; i < bytes.size(); i += step) {
      REQUIRE(parser.Feed(std::string_view(bytes).substr(i, step), events));
    }
    REQUIRE(events.size() == 3);
    CHECK(events[0].id == 0U);
    CHECK(events[0].data == "a");
    CHECK(events[1].id == 1U);
    CHECK(events[1].data == "b\nc");
    CHECK(!events[2].id);
    CHECK(events[2].data == "{\"k\": \"v\"}");
  }
}

// Guards against unbounded buffering of an event that never ends.
TEST_CASE("an event that is too large is refused") {
  SseParser parser;
  std::vector<SseEvent> events;
  const std::string part(SseParser::kMaxEventBytes / 2, 'x');
  CHECK(parser.Feed("data: " + part, events));
  CHECK(!(parser.Feed(part, events) && parser.Feed(part, events)));
}

// Guards against gaps, duplicates and wrong order for random mixtures of
// duplicate and early events, and against [DONE] before the last event.
TEST_CASE("shuffled and repeated events come out in order") {
  constexpr std::uint64_t kEvents = 40;
  constexpr std::uint64_t kSeeds = 300;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    Random random(seed);
    std::vector<std::uint64_t> order;
    for (std::uint64_t i = 0; i <= kEvents; ++i) {
      order.push_back(i);
      if (random.NextBool(0.3)) {
        order.push_back(random.NextBelow(i + 1));
      }
    }
    for (std::size_t i = order.size() - 1; i > 0; --i) {
      std::swap(order[i], order[random.NextBelow(i + 1)]);
    }
    StreamAssembler assembler;
    assembler.BeginConnection();
    std::vector<std::string> out;
    auto state = StreamAssembler::StreamState::kOpen;
    for (const std::uint64_t it : order) {
      if (state == StreamAssembler::StreamState::kOpen) {
        state = assembler.Accept(
            {it, it == kEvents ? "[DONE]" : std::to_string(it)}, out);
      }
    }
    CHECK(state == StreamAssembler::StreamState::kDone);
    REQUIRE(out.size() == kEvents);
    for (std::uint64_t i = 0; i < kEvents; ++i) {
      CHECK(out[i] == std::to_string(i));
    }
  }
}

// Guards against unbounded buffering of events behind a gap.
TEST_CASE("too many events behind a gap break the connection") {
  StreamAssembler assembler;
  assembler.BeginConnection();
  std::vector<std::string> out;
  auto state = StreamAssembler::StreamState::kOpen;
  for (std::uint64_t i = 1; i <= StreamAssembler::kMaxWaiting + 1; ++i) {
    REQUIRE(state == StreamAssembler::StreamState::kOpen);
    state = assembler.Accept({i, "x"}, out);
  }
  CHECK(state == StreamAssembler::StreamState::kBroken);
  CHECK(out.empty());
  CHECK(assembler.next_offset() == 0);
}

}  // namespace
}  // namespace flamingogauge
