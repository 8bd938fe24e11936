// The same as tst_gateway_crowds.cc for the own interface: callers and
// operators.
#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "tests/auto/crowds/crowd.h"
#include "tests/auto/crowds/process_usage.h"
#include "tests/auto/end_to_end/deployment.h"
#include "tests/fakes/fake_engine/fake_text.h"

namespace flamingogauge {
namespace {

// The process's memory as it is told, and the bound on what it has resident.
constexpr std::size_t kMemoryMb = 96;
constexpr std::size_t kDescriptors = 1024;

DeploymentOptions Options(std::size_t max_descriptors = kDescriptors) {
  return {.host_process = {.environment = {"FLAGS_host_memory_mb=" +
                                           std::to_string(kMemoryMb)},
                           .max_descriptors = max_descriptors}};
}

std::string Upload(const std::string& path,
                   std::size_t length,
                   std::size_t sent) {
  return FormatTestRequest("PUT", path,
                           {"Authorization: Bearer secret",
                            "Content-Length: " + std::to_string(length)},
                           "") +
         std::string(sent, 'x');
}

bool AnswersOrdinaryRequest(Deployment& deployment) {
  return Eventually([&deployment] {
    const TestAnswer answer =
        Ask(deployment.host(0).callers, ChatRequest("ordinary", true, 5));
    return answer.status == 200 && answer.complete &&
           AnswerText(answer) == FakeAnswer("ordinary", 5);
  });
}

void CheckCrowd(Deployment& deployment,
                const CrowdOptions& options,
                std::size_t max_descriptors = kDescriptors - 40) {
  ChildProcess& process = *deployment.host(0).process;
  const pid_t pid = process.pid();
  Crowd crowd(options);
  crowd.Press([&] { return PeakMemoryMb(pid) + OpenDescriptors(pid); },
              [&] {
                return PeakMemoryMb(pid) > 2 * kMemoryMb ||
                       PeakMemoryMb(pid) == 0;
              });
  CHECK(PeakMemoryMb(pid) <= kMemoryMb);
  // Connections are accepted by a library, which takes those that come at once
  // before the host can close any.
  CHECK(OpenDescriptors(pid) <= max_descriptors);
  CHECK(AnswersOrdinaryRequest(deployment));
  CHECK(Ask(deployment.host(0).operators,
            FormatTestRequest("GET", "/readyz", {}, ""))
            .status == 200);
  CHECK(PeakMemoryMb(pid) <= kMemoryMb);
  CHECK_FALSE(process.Wait(std::chrono::milliseconds(0)).has_value());
}

// Guards against bodies that are received without a bound on their sum.
TEST_CASE("callers' bodies whose end never comes") {
  constexpr std::size_t kBodyBytes = 4000000;
  Deployment deployment(Options());
  CheckCrowd(deployment, {.address = deployment.host(0).callers,
                          .connections = 80,
                          .request = Upload("/v1/services/bookings/new",
                                            kBodyBytes, kBodyBytes - 100000),
                          .returns = 2});
}

// Guards against the same before an operator's token has been checked.
TEST_CASE("operators' bodies whose end never comes") {
  constexpr std::size_t kBodyBytes = 16000000;
  Deployment deployment(Options());
  CheckCrowd(deployment,
             {.address = deployment.host(0).operators,
              .connections = 20,
              .request = Upload("/document", kBodyBytes, kBodyBytes - 100000),
              .returns = 2});
}

// Guards against large answers that are bounded one by one and not in their
// sum.
TEST_CASE("callers' large answers that nobody reads") {
  constexpr std::size_t kManyDescriptors = 4096;
  Deployment deployment(Options(kManyDescriptors));
  // From now on the host has read the store and serves bookings.
  REQUIRE(AnswersOrdinaryRequest(deployment));
  Ask(deployment.service_address(),
      FormatTestRequest("POST", "/fault", {}, "{\"padding\":1000000}"));
  CheckCrowd(
      deployment,
      {.address = deployment.host(0).callers,
       .connections = 80,
       .request = FormatTestRequest("GET", "/v1/services/bookings/all",
                                    {"Authorization: Bearer secret"}, ""),
       .returns = 2},
      kManyDescriptors - 40);
}

// Guards against connections that take all descriptors, so that neither a
// caller nor an upstream can be connected.
TEST_CASE("callers' connections without a request") {
  constexpr std::size_t kFewDescriptors = 400;
  Deployment deployment(Options(kFewDescriptors));
  CheckCrowd(deployment,
             {.address = deployment.host(0).callers,
              .connections = 500,
              .request = "GET /v1/services/bookings/all HTTP/1.1\r\n",
              .returns = 2},
             kFewDescriptors - 40);
}

}  // namespace
}  // namespace flamingogauge
