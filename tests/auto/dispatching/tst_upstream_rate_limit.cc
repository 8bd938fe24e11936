#include <doctest/doctest.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "libs/dispatching/upstream_rate_limit.h"

namespace flamingogauge {
namespace {

constexpr MonotonicTime kStart{std::chrono::hours(1)};

MonotonicTime At(int ms) {
  return kStart + std::chrono::milliseconds(ms);
}

// Guards against a limit that is lifted by a response from before it, which
// arrives late on another connection, and against one that stays for ever.
TEST_CASE("a limit holds until a later request's response states none") {
  struct Statement {
    std::optional<double> limit;
    int sent_ms = 0;
    int stated_ms = 0;
    bool is_news = false;
  };
  struct Row {
    std::string name;
    std::vector<Statement> statements;
    std::optional<double> limit;
  };
  for (const Row& row : std::vector<Row>{
           {"never stated", {{std::nullopt, 0, 10, false}}, std::nullopt},
           {"stated", {{2.0, 0, 10, true}, {2.0, 5, 12, false}}, 2.0},
           {"changed", {{2.0, 0, 10, true}, {1.4, 5, 12, true}}, 1.4},
           {"an older response",
            {{2.0, 5, 10, true}, {std::nullopt, 0, 12, false}},
            2.0},
           {"a later response",
            {{2.0, 5, 10, true}, {std::nullopt, 11, 20, true}},
            std::nullopt},
           {"stated again",
            {{2.0, 5, 10, true},
             {std::nullopt, 11, 20, true},
             {3.0, 15, 22, true}},
            3.0},
       }) {
    CAPTURE(row.name);
    UpstreamRateLimit limit;
    for (const Statement& it : row.statements) {
      CAPTURE(it.stated_ms);
      CHECK(limit.OnStatement({.requests_per_second = it.limit,
                               .request_sent_at = At(it.sent_ms),
                               .stated_at = At(it.stated_ms)}) == it.is_news);
    }
    CHECK(limit.requests_per_second() == row.limit);
  }
}

}  // namespace
}  // namespace flamingogauge
