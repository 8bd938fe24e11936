#include <doctest/doctest.h>

#include <csignal>
#include <nlohmann/json.hpp>
#include <string>

#include "tests/auto/end_to_end/deployment.h"
#include "tests/fakes/fake_engine/fake_text.h"

namespace flamingogauge {
namespace {

bool IsExpectedAnswer(const TestAnswer& answer,
                      const std::string& prompt,
                      int tokens) {
  return answer.status == 200 && answer.complete &&
         AnswerText(answer) ==
             FakeAnswer(prompt, static_cast<std::size_t>(tokens));
}

void SetFault(const std::string& address, const std::string& json) {
  const TestAnswer answer =
      Ask(address, FormatTestRequest("POST", "/fault", {}, json));
  REQUIRE(answer.status == 200);
}

nlohmann::json Executions(const std::string& address) {
  return nlohmann::json::parse(
      Ask(address, FormatTestRequest("GET", "/executions", {}, "")).body,
      nullptr, false);
}

// Guards against a platform outage that stops idempotent requests, lets a
// booking be executed without a claim, or leads to a wrong run status
// "not-run".
TEST_CASE("a store outage stops only bookings and keeps run statuses correct") {
  struct Row {
    const char* name;
    const char* fault;
  };
  const Row rows[] = {
      {"refuses calls", "{\"outage\":true}"},
      {"does not answer calls", "{\"silent\":true}"},
  };
  for (const Row& row : rows) {
    CAPTURE(std::string(row.name));
    Deployment deployment({.hosts = 2});
    REQUIRE(Eventually([&deployment] {
      return Ask(deployment.host(0).callers, BookingRequest("warm")).status ==
             200;
    }));
    SetFault(deployment.platform_address(), row.fault);
    CHECK(IsExpectedAnswer(
        Ask(deployment.host(1).callers, ChatRequest("during", true, 20)),
        "during", 20));
    const TestAnswer refused =
        Ask(deployment.host(0).callers, BookingRequest("key-1"));
    CHECK(refused.status == 503);
    CHECK(refused.headers.at("flamingogauge-run-status") == "attempt-not-run");
    CHECK_FALSE(
        Executions(deployment.service_address())["by_key"].contains("key-1"));
    SetFault(deployment.platform_address(),
             "{\"outage\":false,\"silent\":false}");
    CHECK(Eventually([&deployment] {
      return Ask(deployment.host(1).callers, BookingRequest("key-1")).status ==
             200;
    }));
    CHECK(Executions(deployment.service_address())["by_key"]["key-1"] == 1);
  }
}

// Guards against bookings that are lost or executed twice when the store
// applies changes but its replies are lost.
TEST_CASE("bookings are executed once while replies of the store are lost") {
  Deployment deployment({.hosts = 2});
  REQUIRE(Eventually([&deployment] {
    return Ask(deployment.host(0).callers, BookingRequest("warm")).status ==
           200;
  }));
  SetFault(deployment.platform_address(), "{\"lost_answer_probability\":0.3}");
  int answered = 0;
  for (int it = 0; it < 10; ++it) {
    const std::string key = "lossy-" + std::to_string(it);
    for (int attempt = 0; attempt < 4; ++attempt) {
      const TestAnswer answer =
          Ask(deployment.host((it + attempt) % 2).callers, BookingRequest(key));
      if (answer.status == 200) {
        ++answered;
        break;
      }
    }
  }
  SetFault(deployment.platform_address(), "{\"lost_answer_probability\":0.0}");
  const auto executions = Executions(deployment.service_address())["by_key"];
  for (const auto& it : executions.items()) {
    CHECK_MESSAGE(it.value() == 1, it.key());
  }
  CHECK(answered > 0);
}

// Guards against a truncated response or a second execution when an open
// connection to an engine delivers no more data while new connections work (I1,
// I3).
TEST_CASE("a silent engine stream is resumed without a second execution") {
  Deployment deployment(
      {.engine_arguments = {"--decode_tokens_per_second=50"}});
  REQUIRE(Eventually([&deployment] {
    return IsExpectedAnswer(
        Ask(deployment.host(0).callers, ChatRequest("warm", true, 2)), "warm",
        2);
  }));
  TestConnection connection(deployment.host(0).callers);
  REQUIRE(connection.Send(ChatRequest("silent", true, 150)));
  REQUIRE(connection.ReadUntil("content"));
  SetFault(deployment.engine_address(0), "{\"silence_open_streams\":true}");
  const TestAnswer answer = connection.ReadAnswer();
  CHECK(IsExpectedAnswer(answer, "silent", 150));
  CHECK(answer.Events().back() == "[DONE]");
  const auto executions = Executions(deployment.engine_address(0));
  for (const auto& it : executions["by_request"].items()) {
    CHECK_MESSAGE(it.value() == 1, it.key());
  }
}

}  // namespace
}  // namespace flamingogauge
