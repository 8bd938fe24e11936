#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "tests/auto/end_to_end/deployment.h"
#include "tests/fakes/fake_engine/fake_text.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kExitTimeLimit{20000};

nlohmann::json Executions(const std::string& address) {
  return nlohmann::json::parse(
      Ask(address, FormatTestRequest("GET", "/executions", {}, "")).body,
      nullptr, false);
}

bool IsExpectedAnswer(const TestAnswer& answer,
                      const std::string& prompt,
                      int tokens) {
  return answer.status == 200 && answer.complete &&
         AnswerText(answer) ==
             FakeAnswer(prompt, static_cast<std::size_t>(tokens));
}

// Sends a booking and retries it with the same key while the response is 503: a
// host refuses bookings until it has read the store, with a run status that
// allows a retry.
TestAnswer BookWithRetry(const std::string& address, const std::string& key) {
  TestAnswer answer;
  Eventually([&] {
    answer = Ask(address, BookingRequest(key));
    return answer.status != 503;
  });
  return answer;
}

// Guards against responses that are truncated, corrupted or delivered to the
// wrong caller under concurrency (I3).
TEST_CASE("200 concurrent callers get their own responses") {
  constexpr int kCallers = 200;
  Deployment deployment({.hosts = 2, .engines = 2});
  std::atomic<int> failures = 0;
  std::vector<std::thread> callers;
  for (int it = 0; it < kCallers; ++it) {
    callers.emplace_back([&deployment, &failures, it] {
      const std::string prompt = "question " + std::to_string(it);
      const int tokens = 5 + it % 40;
      const TestAnswer answer = Ask(deployment.host(it % 2).callers,
                                    ChatRequest(prompt, it % 3 != 0, tokens));
      if (!IsExpectedAnswer(answer, prompt, tokens)) {
        ++failures;
        MESSAGE("caller " << it << ": status " << answer.status << " "
                          << answer.body.substr(0, 300));
      }
      if (it % 3 != 0 &&
          (answer.Events().empty() || answer.Events().back() != "[DONE]")) {
        ++failures;
      }
    });
  }
  for (std::thread& it : callers) {
    it.join();
  }
  CHECK(failures == 0);
  // The output of a crashed host contains the cause.
  for (int it = 0; it < 2; ++it) {
    CHECK_MESSAGE(!deployment.host(it).process->Wait(milliseconds(0)),
                  deployment.host(it).process->Output());
  }
}

// Guards against upstream streams that continue after their caller has
// disconnected, and against disconnects that affect the responses of other
// callers.
TEST_CASE("disconnects cancel streams and do not affect other callers") {
  Deployment deployment(
      {.engine_arguments = {"--decode_tokens_per_second=200"}});
  std::atomic<int> failures = 0;
  std::vector<std::thread> callers;
  for (int it = 0; it < 20; ++it) {
    callers.emplace_back([&deployment, &failures, it] {
      const std::string prompt = "hang-up " + std::to_string(it);
      if (it % 2 == 0) {
        TestConnection connection(deployment.host(0).callers);
        connection.Send(ChatRequest(prompt, true, 4000));
        failures += connection.ReadUntil("content") ? 0 : 1;
        connection.Reset();
        return;
      }
      const TestAnswer answer =
          Ask(deployment.host(0).callers, ChatRequest(prompt, true, 50));
      failures += IsExpectedAnswer(answer, prompt, 50) ? 0 : 1;
    });
  }
  for (std::thread& it : callers) {
    it.join();
  }
  CHECK(failures == 0);
  // 4000 tokens take 20 s at 200 tokens/s; cancelled streams end immediately.
  CHECK(Eventually([&deployment] {
    const auto load =
        nlohmann::json::parse(Ask(deployment.engine_address(0),
                                  FormatTestRequest("GET", "/load", {}, ""))
                                  .body,
                              nullptr, false);
    return load.is_object() && load.value("running", 1) == 0;
  }));
}

// Guards against a planned stop that truncates responses or accepts new
// requests, and against a process that does not exit after it (I7).
TEST_CASE("a drain under load truncates no response") {
  constexpr int kCallers = 30;
  Deployment deployment(
      {.hosts = 2, .engine_arguments = {"--decode_tokens_per_second=100"}});
  std::atomic<int> started = 0;
  std::atomic<int> failures = 0;
  std::vector<std::thread> callers;
  for (int it = 0; it < kCallers; ++it) {
    callers.emplace_back([&, it] {
      const std::string prompt = "drain " + std::to_string(it);
      TestConnection connection(deployment.host(0).callers);
      connection.Send(ChatRequest(prompt, true, 100));
      failures += connection.ReadUntil("content") ? 0 : 1;
      ++started;
      failures +=
          IsExpectedAnswer(connection.ReadAnswer(), prompt, 100) ? 0 : 1;
    });
  }
  CHECK(Eventually([&started] { return started == kCallers; }));
  deployment.host(0).process->Signal(SIGTERM);
  CHECK(Eventually([&deployment] {
    return Ask(deployment.host(0).operators,
               FormatTestRequest("GET", "/readyz", {}, ""))
               .status == 503;
  }));
  const TestAnswer refused =
      Ask(deployment.host(0).callers, ChatRequest("late", true, 5));
  CHECK(refused.status == 503);
  CHECK(refused.headers.at("flamingogauge-run-status") == "not-run");
  for (std::thread& it : callers) {
    it.join();
  }
  CHECK(failures == 0);
  CHECK(deployment.host(0).process->Wait(kExitTimeLimit) == 0);
  // The remaining host serves requests, including those of groups that the
  // drained host scheduled.
  CHECK(Eventually([&deployment] {
    return IsExpectedAnswer(
        Ask(deployment.host(1).callers, ChatRequest("after", false, 5)),
        "after", 5);
  }));
}

struct SignalCase {
  int first;
  int second;
  // Whether the request in flight is answered; otherwise the process ends at
  // once with 128 plus the second signal.
  bool is_answered;
};

// Guards against requests in flight that are cut off because a supervisor
// repeats SIGTERM or the settings change during a drain, and against an
// interrupt at the terminal that is ignored.
TEST_CASE("only an interrupt ends a draining process at once") {
  for (const SignalCase& it :
       {SignalCase{SIGTERM, SIGHUP, true}, SignalCase{SIGTERM, SIGTERM, true},
        SignalCase{SIGINT, SIGHUP, true}, SignalCase{SIGINT, SIGTERM, true},
        SignalCase{SIGTERM, SIGINT, false},
        SignalCase{SIGINT, SIGINT, false}}) {
    CAPTURE(it.first);
    CAPTURE(it.second);
    Deployment deployment(
        {.engine_arguments = {"--decode_tokens_per_second=20"}});
    ChildProcess& process = *deployment.host(0).process;
    TestConnection connection(deployment.host(0).callers);
    connection.Send(ChatRequest("long", true, 30));
    REQUIRE(connection.ReadUntil("content"));
    process.Signal(it.first);
    REQUIRE(process.WaitForOutput("draining").has_value());
    process.Signal(it.second);
    if (it.is_answered) {
      CHECK(IsExpectedAnswer(connection.ReadAnswer(), "long", 30));
      CHECK(process.Wait(kExitTimeLimit) == 0);
    } else {
      CHECK(process.Wait(milliseconds(5000)) == 128 + it.second);
    }
  }
}

// Guards against hosts that stop serving after another host has crashed, and
// against groups whose scheduler is not replaced.
TEST_CASE("the remaining hosts serve after one is killed") {
  Deployment deployment({.hosts = 3});
  for (int it = 0; it < 3; ++it) {
    CHECK(Eventually([&deployment, it] {
      return IsExpectedAnswer(
          Ask(deployment.host(it).callers, ChatRequest("before", true, 5)),
          "before", 5);
    }));
  }
  deployment.host(0).process->Signal(SIGKILL);
  deployment.host(0).process->Wait(kExitTimeLimit);
  for (int it = 1; it < 3; ++it) {
    CHECK(Eventually([&deployment, it] {
      return IsExpectedAnswer(
          Ask(deployment.host(it).callers, ChatRequest("after", true, 5)),
          "after", 5);
    }));
  }
}

// Guards against a second execution of a booking that is sent to several hosts
// with the same key, concurrently or later (I5).
TEST_CASE("a booking sent to two hosts is executed once") {
  Deployment deployment({.hosts = 2, .service_arguments = {"--delay_ms=100"}});
  REQUIRE(BookWithRetry(deployment.host(0).callers, "warm-0").status == 200);
  REQUIRE(BookWithRetry(deployment.host(1).callers, "warm-1").status == 200);
  std::vector<TestAnswer> answers(6);
  std::vector<std::thread> callers;
  for (std::size_t it = 0; it < answers.size(); ++it) {
    callers.emplace_back([&deployment, &answers, it] {
      answers[it] = BookWithRetry(deployment.host(it % 2).callers, "key-1");
    });
  }
  for (std::thread& it : callers) {
    it.join();
  }
  for (const TestAnswer& it : answers) {
    CHECK(it.status == 200);
    CHECK(it.body == answers[0].body);
  }
  CHECK(Executions(deployment.service_address())["by_key"]["key-1"] == 1);
}

// Guards against a run status that reports a booking as not executed although
// the service executed it and only the response was lost.
TEST_CASE("a booking with a lost response is unknown and not executed again") {
  Deployment deployment({.hosts = 2});
  REQUIRE(BookWithRetry(deployment.host(0).callers, "warm-0").status == 200);
  Ask(deployment.service_address(),
      FormatTestRequest("POST", "/fault", {}, "{\"drop_answer\":true}"));
  const TestAnswer lost = BookWithRetry(deployment.host(0).callers, "key-2");
  CHECK(lost.status == 502);
  CHECK(lost.headers.at("flamingogauge-run-status") == "unknown");
  Ask(deployment.service_address(),
      FormatTestRequest("POST", "/fault", {}, "{}"));
  const TestAnswer again = BookWithRetry(deployment.host(1).callers, "key-2");
  CHECK(again.status == 409);
  CHECK(again.headers.at("flamingogauge-run-status") == "unknown");
  CHECK(Executions(deployment.service_address())["by_key"]["key-2"] == 1);
}

// Guards against bytes of an abandoned response that are written to a new
// connection with a reused file descriptor (I3). Covers the whole path through
// a host process.
TEST_CASE("callers that connect after disconnects get their own responses") {
  Deployment deployment(
      {.engine_arguments = {"--decode_tokens_per_second=2000"},
       .max_concurrency = 500});
  std::atomic<int> failures = 0;
  std::vector<std::thread> callers;
  for (int it = 0; it < 8; ++it) {
    callers.emplace_back([&deployment, &failures, it] {
      for (int round = 0; round < 25; ++round) {
        const std::string name =
            std::to_string(it) + " in round " + std::to_string(round);
        TestConnection abandoned(deployment.host(0).callers);
        abandoned.Send(ChatRequest("abandoned " + name, true, 200));
        abandoned.ReadUntil("content");
        abandoned.Reset();
        const TestAnswer answer = Ask(deployment.host(0).callers,
                                      ChatRequest("next " + name, true, 20));
        failures += IsExpectedAnswer(answer, "next " + name, 20) ? 0 : 1;
      }
    });
  }
  for (std::thread& it : callers) {
    it.join();
  }
  CHECK(failures == 0);
}

// Guards against a host that reports ready or leaves callers waiting when it
// has no document, because the platform is unreachable and no other host is
// known.
TEST_CASE("a host without a document refuses as not run") {
  ChildProcess host(
      FLAMINGOGAUGE_BINARY,
      {"serve", "--callers_address=127.0.0.1:0",
       "--operators_address=127.0.0.1:0", "--operators_token=operators-token",
       "--platform_address=127.0.0.1:1"});
  const auto callers = host.WaitForOutput("callers: listening on ");
  const auto operators = host.WaitForOutput("operators: listening on ");
  REQUIRE(callers.has_value());
  REQUIRE(operators.has_value());
  CHECK(Ask(*operators, FormatTestRequest("GET", "/readyz", {}, "")).status ==
        503);
  const TestAnswer answer = Ask(*callers, ChatRequest("early", true, 5));
  CHECK(answer.status == 503);
  CHECK(answer.headers.at("flamingogauge-run-status") == "not-run");
  host.Signal(SIGTERM);
  CHECK(host.Wait(kExitTimeLimit) == 0);
}

// Guards against a request that waits indefinitely or is reported as executed
// when no upstream serves its model.
TEST_CASE("a request without an upstream is refused as not run") {
  Deployment deployment({.deadline_ms = 2000, .with_upstreams = false});
  const TestAnswer answer =
      Ask(deployment.host(0).callers, ChatRequest("nobody", true, 5));
  CHECK(answer.status >= 503);
  CHECK(answer.headers.at("flamingogauge-run-status") == "not-run");
}

}  // namespace
}  // namespace flamingogauge
