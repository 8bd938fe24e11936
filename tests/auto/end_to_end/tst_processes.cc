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

bool IsWhole(const TestAnswer& answer, const std::string& prompt, int tokens) {
  return answer.status == 200 && answer.complete &&
         AnswerText(answer) ==
             FakeAnswer(prompt, static_cast<std::size_t>(tokens));
}

// A booking may be refused while a host has not read the store yet; it is then
// sent again with its key, as the run status asks for.
TestAnswer Book(const std::string& address, const std::string& key) {
  TestAnswer answer;
  Eventually([&] {
    answer = Ask(address, BookingRequest(key));
    return answer.status != 503;
  });
  return answer;
}

// Guards against answers that are cut, mixed up between callers or changed on
// their way (I3).
TEST_CASE("200 callers at once get their own answers") {
  constexpr int kCallers = 200;
  Deployment deployment({.hosts = 2, .engines = 2});
  std::atomic<int> wrong = 0;
  std::vector<std::thread> callers;
  for (int it = 0; it < kCallers; ++it) {
    callers.emplace_back([&deployment, &wrong, it] {
      const std::string prompt = "question " + std::to_string(it);
      const int tokens = 5 + it % 40;
      const TestAnswer answer = Ask(deployment.host(it % 2).callers,
                                    ChatRequest(prompt, it % 3 != 0, tokens));
      if (!IsWhole(answer, prompt, tokens)) {
        ++wrong;
        MESSAGE("caller " << it << ": status " << answer.status << " "
                          << answer.body.substr(0, 300));
      }
      if (it % 3 != 0 &&
          (answer.Events().empty() || answer.Events().back() != "[DONE]")) {
        ++wrong;
      }
    });
  }
  for (std::thread& it : callers) {
    it.join();
  }
  CHECK(wrong == 0);
  // A host that crashed has said why.
  for (int it = 0; it < 2; ++it) {
    CHECK_MESSAGE(!deployment.host(it).process->Wait(milliseconds(0)),
                  deployment.host(it).process->Output());
  }
}

// Guards against upstream streams that go on for callers that hung up, and
// against answers that suffer from others' hang-ups.
TEST_CASE("hang-ups cancel streams and harm no other caller") {
  Deployment deployment(
      {.engine_arguments = {"--decode_tokens_per_second=200"}});
  std::atomic<int> wrong = 0;
  std::vector<std::thread> callers;
  for (int it = 0; it < 20; ++it) {
    callers.emplace_back([&deployment, &wrong, it] {
      const std::string prompt = "hang-up " + std::to_string(it);
      if (it % 2 == 0) {
        TestConnection connection(deployment.host(0).callers);
        connection.Send(ChatRequest(prompt, true, 4000));
        wrong += connection.ReadUntil("content") ? 0 : 1;
        connection.Reset();
        return;
      }
      const TestAnswer answer =
          Ask(deployment.host(0).callers, ChatRequest(prompt, true, 50));
      wrong += IsWhole(answer, prompt, 50) ? 0 : 1;
    });
  }
  for (std::thread& it : callers) {
    it.join();
  }
  CHECK(wrong == 0);
  // 4000 tokens would take 20 s; the cancelled streams end at once.
  CHECK(Eventually([&deployment] {
    const auto load =
        nlohmann::json::parse(Ask(deployment.engine_address(0),
                                  FormatTestRequest("GET", "/load", {}, ""))
                                  .body,
                              nullptr, false);
    return load.is_object() && load.value("running", 1) == 0;
  }));
}

// Guards against a planned stop that cuts answers or accepts new work, and
// against a process that does not end (I7).
TEST_CASE("a drain under load cuts nothing") {
  constexpr int kCallers = 30;
  Deployment deployment(
      {.hosts = 2, .engine_arguments = {"--decode_tokens_per_second=100"}});
  std::atomic<int> started = 0;
  std::atomic<int> wrong = 0;
  std::vector<std::thread> callers;
  for (int it = 0; it < kCallers; ++it) {
    callers.emplace_back([&, it] {
      const std::string prompt = "drain " + std::to_string(it);
      TestConnection connection(deployment.host(0).callers);
      connection.Send(ChatRequest(prompt, true, 100));
      wrong += connection.ReadUntil("content") ? 0 : 1;
      ++started;
      wrong += IsWhole(connection.ReadAnswer(), prompt, 100) ? 0 : 1;
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
  CHECK(wrong == 0);
  CHECK(deployment.host(0).process->Wait(kExitTimeLimit) == 0);
  // The other host still serves, also groups that the first one scheduled.
  CHECK(Eventually([&deployment] {
    return IsWhole(
        Ask(deployment.host(1).callers, ChatRequest("after", false, 5)),
        "after", 5);
  }));
}

// Guards against a second signal that is ignored while the host drains.
TEST_CASE("a second signal ends the process at once") {
  Deployment deployment(
      {.engine_arguments = {"--decode_tokens_per_second=10"}});
  TestConnection connection(deployment.host(0).callers);
  connection.Send(ChatRequest("long", true, 1000));
  REQUIRE(connection.ReadUntil("content"));
  deployment.host(0).process->Signal(SIGTERM);
  REQUIRE(deployment.host(0).process->WaitForOutput("draining").has_value());
  deployment.host(0).process->Signal(SIGTERM);
  CHECK(deployment.host(0).process->Wait(milliseconds(5000)) == 128 + SIGTERM);
}

// Guards against hosts that stop serving when another one dies, and against a
// group that is left without a scheduler.
TEST_CASE("the hosts that are left serve after a kill") {
  Deployment deployment({.hosts = 3});
  for (int it = 0; it < 3; ++it) {
    CHECK(Eventually([&deployment, it] {
      return IsWhole(
          Ask(deployment.host(it).callers, ChatRequest("before", true, 5)),
          "before", 5);
    }));
  }
  deployment.host(0).process->Signal(SIGKILL);
  deployment.host(0).process->Wait(kExitTimeLimit);
  for (int it = 1; it < 3; ++it) {
    CHECK(Eventually([&deployment, it] {
      return IsWhole(
          Ask(deployment.host(it).callers, ChatRequest("after", true, 5)),
          "after", 5);
    }));
  }
}

// Guards against a booking that runs twice when it is sent again to another
// host, at the same time or later (I5).
TEST_CASE("a booking sent to two hosts runs once") {
  Deployment deployment({.hosts = 2, .service_arguments = {"--delay_ms=100"}});
  REQUIRE(Book(deployment.host(0).callers, "warm-0").status == 200);
  REQUIRE(Book(deployment.host(1).callers, "warm-1").status == 200);
  std::vector<TestAnswer> answers(6);
  std::vector<std::thread> callers;
  for (std::size_t it = 0; it < answers.size(); ++it) {
    callers.emplace_back([&deployment, &answers, it] {
      answers[it] = Book(deployment.host(it % 2).callers, "key-1");
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

// Guards against a refusal that claims too much: the service executed the
// booking and its answer was lost.
TEST_CASE("a booking whose answer is lost is unknown and not run again") {
  Deployment deployment({.hosts = 2});
  REQUIRE(Book(deployment.host(0).callers, "warm-0").status == 200);
  Ask(deployment.service_address(),
      FormatTestRequest("POST", "/fault", {}, "{\"drop_answer\":true}"));
  const TestAnswer lost = Book(deployment.host(0).callers, "key-2");
  CHECK(lost.status == 502);
  CHECK(lost.headers.at("flamingogauge-run-status") == "unknown");
  Ask(deployment.service_address(),
      FormatTestRequest("POST", "/fault", {}, "{}"));
  const TestAnswer again = Book(deployment.host(1).callers, "key-2");
  CHECK(again.status == 409);
  CHECK(again.headers.at("flamingogauge-run-status") == "unknown");
  CHECK(Executions(deployment.service_address())["by_key"]["key-2"] == 1);
}

// Guards against bytes of an abandoned answer on a connection that took over
// its descriptor, through all parts of a real host (I3).
TEST_CASE("callers that connect after hang-ups get their own answers") {
  Deployment deployment(
      {.engine_arguments = {"--decode_tokens_per_second=2000"},
       .max_concurrency = 500});
  std::atomic<int> wrong = 0;
  std::vector<std::thread> callers;
  for (int it = 0; it < 8; ++it) {
    callers.emplace_back([&deployment, &wrong, it] {
      for (int round = 0; round < 25; ++round) {
        const std::string name =
            std::to_string(it) + " in round " + std::to_string(round);
        TestConnection abandoned(deployment.host(0).callers);
        abandoned.Send(ChatRequest("abandoned " + name, true, 200));
        abandoned.ReadUntil("content");
        abandoned.Reset();
        const TestAnswer answer = Ask(deployment.host(0).callers,
                                      ChatRequest("next " + name, true, 20));
        wrong += IsWhole(answer, "next " + name, 20) ? 0 : 1;
      }
    });
  }
  for (std::thread& it : callers) {
    it.join();
  }
  CHECK(wrong == 0);
}

// Guards against a host without a document that says it is ready, or lets a
// caller wait, when the platform is down and no other host is known.
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

// Guards against a request that waits for ever, or is said to have run, when
// no upstream serves its model.
TEST_CASE("a request without an upstream is refused as not run") {
  Deployment deployment({.deadline_ms = 2000, .with_upstreams = false});
  const TestAnswer answer =
      Ask(deployment.host(0).callers, ChatRequest("nobody", true, 5));
  CHECK(answer.status >= 503);
  CHECK(answer.headers.at("flamingogauge-run-status") == "not-run");
}

}  // namespace
}  // namespace flamingogauge
