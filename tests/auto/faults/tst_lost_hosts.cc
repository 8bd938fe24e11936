#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "tests/auto/end_to_end/deployment.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kHosts = 3;
constexpr int kCallers = 8;
constexpr int kBookingsPerCaller = 12;
constexpr int kAttempts = 6;
constexpr seconds kCallerTimeLimit{6};

// The last response that the caller of a booking received in full. The status
// is 0 if there was none.
struct BookingResult {
  std::string key;
  int status = 0;
  std::string run_status;
};

// Sends a booking to one host after another, with the same key, until the
// response is 200 or its run status is "unknown", for at most kAttempts
// attempts.
BookingResult BookWithResends(Deployment& deployment,
                              std::size_t first_host,
                              const std::string& key) {
  BookingResult result{.key = key};
  for (int it = 0; it < kAttempts; ++it) {
    TestConnection connection(
        deployment.host((first_host + it) % kHosts).callers,
        {.time_limit = kCallerTimeLimit});
    if (!connection.IsOpen() || !connection.Send(BookingRequest(key))) {
      continue;
    }
    const TestAnswer answer = connection.ReadAnswer();
    if (answer.status == 0 || !answer.complete) {
      continue;
    }
    result.status = answer.status;
    const auto header = answer.headers.find("flamingogauge-run-status");
    result.run_status = header == answer.headers.end() ? "" : header->second;
    if (answer.status == 200 || result.run_status == "unknown") {
      break;
    }
  }
  return result;
}

// Guards against a booking that is executed twice or wrongly reported as
// "not-run" when callers retry on other hosts after a host was killed, or was
// suspended for longer than every lease (I4, I5).
TEST_CASE(
    "bookings are executed at most once when a host is killed or suspended") {
  struct Row {
    const char* name;
    bool kill;
    milliseconds pause;
  };
  const Row rows[] = {
      {"killed", true, milliseconds(0)},
      {"suspended for 12 s, then resumed", false, milliseconds(12000)},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    Deployment deployment(
        {.hosts = kHosts, .service_arguments = {"--delay_ms=50"}});
    for (int it = 0; it < kHosts; ++it) {
      const std::string key = "warm-" + std::to_string(it);
      REQUIRE(Eventually([&deployment, it, &key] {
        return Ask(deployment.host(it).callers, BookingRequest(key)).status ==
               200;
      }));
    }
    std::vector<std::vector<BookingResult>> results(kCallers);
    std::atomic<int> booked = 0;
    std::vector<std::thread> callers;
    for (int caller = 0; caller < kCallers; ++caller) {
      callers.emplace_back([&, caller] {
        for (int it = 0; it < kBookingsPerCaller; ++it) {
          const std::string key =
              "b-" + std::to_string(caller) + "-" + std::to_string(it);
          results[caller].push_back(
              BookWithResends(deployment, caller + it, key));
          ++booked;
        }
      });
    }
    CHECK(Eventually([&booked] { return booked >= kCallers; }));
    deployment.host(0).process->Signal(row.kill ? SIGKILL : SIGSTOP);
    if (!row.kill) {
      // Must be longer than the validity of permits, the heartbeat time-out and
      // the time limits of requests.
      std::this_thread::sleep_for(row.pause);
      deployment.host(0).process->Signal(SIGCONT);
    }
    for (std::thread& it : callers) {
      it.join();
    }
    const auto executions = nlohmann::json::parse(
        Ask(deployment.service_address(),
            FormatTestRequest("GET", "/executions", {}, ""))
            .body)["by_key"];
    int answered = 0;
    for (const auto& caller : results) {
      for (const BookingResult& it : caller) {
        CAPTURE(it.key);
        CAPTURE(it.status);
        CAPTURE(it.run_status);
        const int runs = executions.value(it.key, 0);
        CHECK(runs <= 1);
        if (it.status == 200) {
          ++answered;
          CHECK(runs == 1);
        }
        if (it.run_status == "not-run") {
          CHECK(runs == 0);
        }
      }
    }
    MESSAGE(std::string(row.name)
            << ": " << answered << " of " << kCallers * kBookingsPerCaller
            << " bookings answered");
    // All bookings are answered except those in flight on the affected host,
    // for which three a caller are allowed.
    CHECK(answered >= kCallers * kBookingsPerCaller - 3 * kCallers);
  }
}

}  // namespace
}  // namespace flamingogauge
