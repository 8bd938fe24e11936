// Each case starts a gateway process and a crowd of clients that read nothing,
// and checks that the process lives, stays under a bound on memory and
// descriptors, and answers an ordinary request while the crowd is still there.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "tests/auto/crowds/crowd.h"
#include "tests/auto/crowds/gateway_process.h"
#include "tests/auto/crowds/process_usage.h"
#include "tests/support/test_connection.h"

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

// Guards against a faulty upstream that writes bytes without end: a host that
// keeps them runs out of memory and ends the requests of all callers, and one
// that reads them for long stands still with all of them.
TEST_CASE("upstreams that write without end") {
  constexpr int kCallersForEach = 4;
  GatewayProcess gateway(kProcess);
  std::vector<std::unique_ptr<TestConnection>> callers;
  std::vector<std::thread> readers;
  for (const std::string& kind : EndlessKinds()) {
    for (const std::string path : {"/endless/", "/endless-stream/"}) {
      const std::string request = GatewayRequest(path + kind + "/a");
      for (int n = 0; n < kCallersForEach; ++n) {
        callers.push_back(std::make_unique<TestConnection>(
            gateway.address(),
            TestConnectionOptions{.has_small_buffers = true}));
        REQUIRE(callers.back()->Send(request));
      }
      readers.emplace_back([address = gateway.address(), request] {
        TestConnection reader(address,
                              {.has_small_buffers = true,
                               .read_pause = std::chrono::milliseconds(1)});
        reader.Send(request);
        reader.ReadAnswer();
      });
    }
  }
  const auto start = std::chrono::steady_clock::now();
  CHECK(gateway.AnswersOrdinaryRequest());
  CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(2));
  for (std::thread& it : readers) {
    it.join();
  }
  CHECK(gateway.AnswersOrdinaryRequest());
  CHECK(PeakMemoryMb(gateway.process().pid()) <= kMemoryMb);
  CHECK_FALSE(gateway.process().Wait(std::chrono::milliseconds(0)).has_value());
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
