#include <doctest/doctest.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "plugins/gateway/fleet_events.h"

namespace flamingogauge {
namespace {

using Entries = std::vector<UpstreamEntry>;

UpstreamEntry Entry(const std::string& id,
                    bool draining = false,
                    std::int64_t started_at_ms = 1) {
  return {.id = id,
          .service = "s",
          .address = "10.0.0.1:1",
          .slots = 4,
          .draining = draining,
          .started_at_ms = started_at_ms};
}

struct Case {
  const char* what;
  Entries before;
  Entries after;
  // The events in order, each with its upstream.
  std::vector<std::string> events;
};

// Guards against a change of the list of upstreams that leaves no line, so that
// nobody can tell later why requests went elsewhere.
TEST_CASE("each change of the list of upstreams is a line") {
  const Case cases[] = {
      {"the first list",
       {},
       {Entry("a"), Entry("b")},
       {"upstream.listed a", "upstream.listed b"}},
      {"no change", {Entry("a")}, {Entry("a")}, {}},
      {"leaving", {Entry("a")}, {Entry("a", true)}, {"upstream.leaving a"}},
      {"a new process",
       {Entry("a", true)},
       {Entry("a", false, 2)},
       {"upstream.restarted a"}},
      {"gone and listed",
       {Entry("a")},
       {Entry("b")},
       {"upstream.listed b", "upstream.gone a"}},
  };
  for (const Case& it : cases) {
    CAPTURE(it.what);
    std::vector<std::string> events;
    for (EventLine& line : UpstreamLines(std::make_shared<Entries>(it.before),
                                         std::make_shared<Entries>(it.after))) {
      const auto fields = nlohmann::json::parse(line.Take());
      events.push_back(fields.at("event").get<std::string>() + " " +
                       fields.at("upstream").get<std::string>());
    }
    CHECK(events == it.events);
  }
}

}  // namespace
}  // namespace flamingogauge
