#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/dispatching/rate_limit_shares.h"
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

// Guards against a limit that is used up faster than it comes in, after a pause
// too.
TEST_CASE("requests are admitted at the part of the limit that is this one's") {
  struct Row {
    double limit = 0;
    double share = 1;
    // Admitted in the ten seconds after the limit was first stated.
    int admitted = 0;
  };
  for (const Row& row : {Row{2, 1, 20}, Row{2, 0.5, 10}, Row{1.4, 0.25, 3},
                         Row{0, 1, 5}, Row{40, 1, 400}, Row{2, 0, 0}}) {
    CAPTURE(row.limit);
    CAPTURE(row.share);
    UpstreamRateLimit limit;
    limit.OnStatement({.requests_per_second = row.limit, .stated_at = At(0)});
    limit.SetShare(row.share, At(0));
    int admitted = 0;
    for (int ms = 0; ms <= 10000; ++ms) {
      if (limit.AdmitsRequest(At(ms))) {
        limit.OnSent(At(ms));
        ++admitted;
      }
    }
    CHECK(admitted <= row.admitted);
    CHECK(admitted >= row.admitted * 9 / 10);
    // Unused for a long time: one request, or a quarter of a second's worth.
    int at_once = 0;
    while (limit.AdmitsRequest(At(60000))) {
      limit.OnSent(At(60000));
      ++at_once;
    }
    CHECK(at_once <= std::max(1.0, row.limit * row.share / 4));
  }
}

ReportedRateLimit Report(std::optional<double> limit, int stated_ms) {
  return {.requests_per_second = limit, .stated_at = At(stated_ms)};
}

// Guards against a report that undoes what is known better, goes round between
// coordinators, or keeps a limit alive that has ended unnoticed.
TEST_CASE("reports of a limit apply if they are newer, and are not for ever") {
  UpstreamRateLimit limit;
  limit.OnStatement({.request_sent_at = At(-20), .stated_at = At(-10)});
  CHECK(!limit.Report(At(0)));
  limit.OnReport({.requests_per_second = 2,
                  .stated_at = At(0),
                  .source = RateLimitSource::kCoordinator},
                 At(10));
  CHECK(limit.requests_per_second() == 2.0);
  CHECK(limit.Report(At(10))->source == RateLimitSource::kCoordinator);
  // A host of this data centre has read it, too.
  limit.OnReport(Report(2, 20), At(21));
  CHECK(limit.Report(At(21))->source == RateLimitSource::kHost);
  limit.OnReport(Report(std::nullopt, 15), At(30));
  CHECK(limit.requests_per_second() == 2.0);
  limit.OnReport(Report(std::nullopt, 500), At(510));
  CHECK(!limit.requests_per_second());
  CHECK(limit.Report(At(520)));
  CHECK(!limit.Report(At(4000)));
  limit.OnReport(Report(3, 5000), At(5001));
  CHECK(!limit.AdmitsRequest(At(5002)));
  CHECK(limit.AdmitsRequest(At(16000)));
  CHECK(!limit.Report(At(16000)));
  limit.OnReport(Report(std::nullopt, 15900), At(16001));
  CHECK(!limit.requests_per_second());
  // The expired limit does not count as a statement.
  limit.OnReport(Report(4, 15950), At(16002));
  CHECK(limit.requests_per_second() == 4.0);
}

// Guards against data centres whose parts add up to more than the limit, or
// that send one request each where all together may send fewer.
TEST_CASE("the parts of all data centres add up to the limit") {
  for (const int data_centres : {1, 3, 6, 13}) {
    for (const double limit : {0.0, 0.5, 1.4, 2.0, 10.0}) {
      CAPTURE(data_centres);
      CAPTURE(limit);
      RateLimitSharers sharers;
      std::map<std::string, std::string> regions;
      for (int n = 0; n < data_centres; ++n) {
        const std::string name = "d" + std::to_string(n);
        sharers.data_centres.insert(name);
        regions[name] = n % 2 == 0 ? "even" : "odd";
      }
      const UpstreamEntry upstream{.id = "u", .data_centre = "d0"};
      double sum = 0;
      int users = 0;
      for (const std::string& it : sharers.data_centres) {
        RateLimitShares shares(it, regions);
        shares.SetSharers(sharers);
        const double share = shares.ShareOf(upstream, limit);
        sum += share;
        users += share > 0 ? 1 : 0;
        CHECK((it != "d0" || share > 0));
      }
      CHECK(sum == doctest::Approx(1));
      CHECK(users <= 3 + 2 * limit);
    }
  }
}

}  // namespace
}  // namespace flamingogauge
