#include <doctest/doctest.h>

#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "plugins/gateway/pace_events.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{std::chrono::hours(1)};

// Guards against a pace whose change and cause an operator cannot find in the
// log.
TEST_CASE("a change of a pace is logged with its cause") {
  const auto line = nlohmann::json::parse(
      PaceChangeEvent({.upstream = "a",
                       .from = 7,
                       .to = 1,
                       .slots = 7,
                       .cause = PaceCause::kConnectionLost})
          .Take());
  CHECK(line.at("event") == "upstream.pace");
  CHECK(line.at("upstream") == "a");
  CHECK(line.at("from") == 7);
  CHECK(line.at("to") == 1);
  CHECK(line.at("slots") == 7);
  CHECK(line.at("cause") == "a lost connection");
}

// Guards against a log that fills with the steps of growing paces, or when many
// upstreams change at once.
TEST_CASE("the lines about paces are bounded") {
  PaceLogFilter filter;
  const auto change = [](int to, PaceCause cause) {
    return PaceChange{
        .upstream = "a", .from = 1, .to = to, .slots = 7, .cause = cause};
  };
  CHECK(!filter.Admits(change(3, PaceCause::kOnTime), kStart));
  CHECK(filter.Admits(change(7, PaceCause::kOnTime), kStart));
  int lines = 0;
  for (int n = 0; n < 100; ++n) {
    lines += filter.Admits(change(1, PaceCause::kConnectionLost), kStart);
  }
  CHECK(lines == 9);
  CHECK(filter.Admits(change(1, PaceCause::kLate), kStart + seconds(1)));
}

// Guards against a state dump that does not say what a pace is and since when.
TEST_CASE("the state dump names the paces that have changed") {
  std::map<std::string, UpstreamView> upstreams;
  for (const char* it : {"a", "b"}) {
    upstreams.emplace(it, UpstreamView({.id = it, .slots = 7}));
  }
  upstreams.at("b").OnStarted(kStart);
  const auto paces = nlohmann::json::parse(
      FormatPaces(upstreams, kStart + milliseconds(1500)));
  CHECK(paces.size() == 1);
  CHECK(paces.at("b").at("requests") == 2);
  CHECK(paces.at("b").at("slots") == 7);
  CHECK(paces.at("b").at("since_ms") == 1500);
  CHECK(paces.at("b").at("cause") == "started");
}

}  // namespace
}  // namespace flamingogauge
