// Each case starts a gateway process and a crowd of clients that read nothing,
// and checks that the process lives, stays under a bound on memory and
// descriptors, and answers an ordinary request while the crowd is still there.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <string>

#include "tests/auto/crowds/crowd.h"
#include "tests/auto/crowds/gateway_process.h"
#include "tests/auto/crowds/process_usage.h"

namespace flamingogauge {
namespace {

// The process's memory as it is told, and the bound on what it has resident.
constexpr std::size_t kMemoryMb = 64;
constexpr std::size_t kDescriptors = 1024;
constexpr std::size_t kBodyBytes = 4000000;

const ChildProcessOptions kProcess{
    .environment = {"FLAGS_host_memory_mb=" + std::to_string(kMemoryMb)},
    .max_descriptors = kDescriptors};

// Lets the crowd press on the process and checks the bounds.
void CheckCrowd(GatewayProcess& gateway,
                const CrowdOptions& options,
                std::size_t max_descriptors = kDescriptors - 40) {
  const pid_t pid = gateway.process().pid();
  std::size_t descriptors = 0;
  Crowd crowd(options);
  crowd.Press(
      [&] {
        descriptors = std::max(descriptors, OpenDescriptors(pid));
        return gateway.UpstreamRequests() + PeakMemoryMb(pid) + descriptors;
      },
      [&] {
        return PeakMemoryMb(pid) > 2 * kMemoryMb || PeakMemoryMb(pid) == 0;
      });
  CHECK(PeakMemoryMb(pid) <= kMemoryMb);
  CHECK(descriptors <= max_descriptors);
  CHECK(gateway.AnswersOrdinaryRequest());
  CHECK(PeakMemoryMb(pid) <= kMemoryMb);
  CHECK_FALSE(gateway.process().Wait(std::chrono::milliseconds(0)).has_value());
}

// Guards against requests sent ahead whose large answers are all made and held.
TEST_CASE("large answers that nobody reads") {
  GatewayProcess gateway(kProcess);
  CheckCrowd(gateway, {.address = gateway.address(),
                       .connections = 8,
                       .request = GatewayRequest("/big/a"),
                       .repeats = 100,
                       .returns = 2});
}

// Guards against refusals that are made and held for requests sent ahead.
TEST_CASE("refusals that nobody reads") {
  GatewayProcess gateway(kProcess);
  CheckCrowd(gateway,
             {.address = gateway.address(),
              .connections = 40,
              .request = GatewayRequest("/nowhere/", std::string(8000, 'i')),
              .repeats = 500,
              .returns = 2});
}

// Guards against the same on the address of readiness, metrics and state.
TEST_CASE("metrics that nobody reads") {
  GatewayProcess gateway(kProcess);
  CheckCrowd(gateway, {.address = gateway.status_address(),
                       .connections = 8,
                       .request = "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n",
                       .repeats = 20000,
                       .returns = 2});
}

// Guards against bodies that are received without a bound on their sum.
TEST_CASE("bodies whose end never comes") {
  GatewayProcess gateway(kProcess);
  CheckCrowd(gateway, {.address = gateway.address(),
                       .connections = 60,
                       .request = GatewayUpload("/small/a", kBodyBytes,
                                                kBodyBytes - 100000),
                       .returns = 2});
}

// Guards against whole bodies that are held without a bound on their sum, for
// an upstream that does not read them.
TEST_CASE("bodies for an upstream that does not read") {
  GatewayProcess gateway(kProcess);
  CheckCrowd(gateway,
             {.address = gateway.address(),
              .connections = 60,
              .request = GatewayUpload("/late/a", kBodyBytes, kBodyBytes),
              .returns = 2});
}

// Guards against streams that are bounded one by one and not in their sum.
TEST_CASE("streams that nobody reads") {
  GatewayProcess gateway(kProcess);
  CheckCrowd(gateway, {.address = gateway.address(),
                       .connections = 320,
                       .request = GatewayRequest("/stream/a"),
                       .returns = 2});
}

// Guards against connections that take all descriptors, so that neither a
// caller nor an upstream can be connected.
TEST_CASE("connections without a request") {
  constexpr std::size_t kFewDescriptors = 300;
  ChildProcessOptions options = kProcess;
  options.max_descriptors = kFewDescriptors;
  GatewayProcess gateway(options);
  CheckCrowd(gateway,
             {.address = gateway.address(),
              .connections = 400,
              .request = "GET /small/a HTTP/1.1\r\nHost: test\r\n",
              .returns = 2},
             kFewDescriptors - 40);
}

}  // namespace
}  // namespace flamingogauge
