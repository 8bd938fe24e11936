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
  // The expected events in order, each with its upstream.
  std::vector<std::string> events;
};

// Guards against a change in the list of upstreams that is not logged: routing
// decisions could not be explained from the log.
TEST_CASE("each change in the list of upstreams is logged") {
  const Case cases[] = {
      {"the first list",
       {},
       {Entry("a"), Entry("b")},
       {"upstream.listed a", "upstream.listed b"}},
      {"no change", {Entry("a")}, {Entry("a")}, {}},
      {"leaving", {Entry("a")}, {Entry("a", true)}, {"upstream.leaving a"}},
      {"restarted",
       {Entry("a", true)},
       {Entry("a", false, 2)},
       {"upstream.restarted a"}},
      {"removed and added",
       {Entry("a")},
       {Entry("b")},
       {"upstream.listed b", "upstream.gone a"}},
  };
  for (const Case& it : cases) {
    CAPTURE(it.what);
    std::vector<std::string> events;
    for (EventLine& line :
         UpstreamListEvents(std::make_shared<Entries>(it.before),
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
