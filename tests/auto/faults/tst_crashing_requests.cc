#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "tests/auto/end_to_end/deployment.h"
#include "tests/fakes/fake_engine/fake_text.h"

namespace flamingogauge {
namespace {

constexpr int kEngines = 4;
constexpr int kHosts = 2;

// Guards against a request that crashes one upstream after another as its
// caller retries it, and against a quarantine that also blocks other requests.
TEST_CASE("a crashing request crashes at most two upstreams") {
  Deployment deployment({.hosts = kHosts, .engines = kEngines});
  for (int it = 0; it < kEngines; ++it) {
    const TestAnswer answer = Ask(
        deployment.engine_address(it),
        FormatTestRequest("POST", "/fault", {}, "{\"crash_on\":\"poison\"}"));
    REQUIRE(answer.status == 200);
  }
  TestAnswer last;
  for (int it = 0; it < 12 && last.status != 422; ++it) {
    last = Ask(deployment.host(it % kHosts).callers,
               ChatRequest("poison", it % 2 == 0, 5));
  }
  CHECK(last.status == 422);
  CHECK(last.headers.at("flamingogauge-run-status") == "not-run");
  // Every host refuses the request within 1 s.
  for (int host = 0; host < kHosts; ++host) {
    const auto deadline =
        std::chrono::steady_clock::now() + std::chrono::seconds(1);
    TestAnswer answer;
    do {
      answer =
          Ask(deployment.host(host).callers, ChatRequest("poison", false, 5));
    } while (answer.status != 422 &&
             std::chrono::steady_clock::now() < deadline);
    CHECK(answer.status == 422);
  }
  int crashed = 0;
  for (int it = 0; it < kEngines; ++it) {
    crashed += deployment.engine(it).Wait(std::chrono::milliseconds(0)) ? 1 : 0;
  }
  CHECK(crashed >= 1);
  CHECK(crashed <= 2);
  CHECK(Eventually([&deployment] {
    const TestAnswer answer =
        Ask(deployment.host(0).callers, ChatRequest("healthy", true, 5));
    return answer.status == 200 &&
           AnswerText(answer) == FakeAnswer("healthy", 5);
  }));
}

}  // namespace
}  // namespace flamingogauge
