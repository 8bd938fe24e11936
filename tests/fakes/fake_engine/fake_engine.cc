#include "tests/fakes/fake_engine/fake_engine.h"

#include <pistache/endpoint.h>

#include <chrono>
#include <cstdlib>
#include <utility>

#include "tests/fakes/fake_engine/fake_engine_handler.h"

namespace flamingogauge {
namespace {

// Pistache measures its header, body and keep-alive time-outs from the start of
// a connection or request, so a shorter limit would end long streams.
constexpr std::chrono::hours kTimeLimit{24};
constexpr std::size_t kMaxRequestBytes = 8U << 20U;
constexpr int kCrashStatus = 134;

}  // namespace

FakeEngine::FakeEngine(const FakeEngineOptions& options,
                       std::uint16_t port,
                       int threads,
                       std::function<void()> crash)
    : state_(std::make_shared<FakeEngineState>(options)),
      endpoint_(std::make_unique<Pistache::Http::Endpoint>(
          Pistache::Address("127.0.0.1", Pistache::Port(port)))) {
  endpoint_->init(Pistache::Http::Endpoint::options()
                      .threads(threads)
                      .flags(Pistache::Tcp::Options::ReuseAddr |
                             Pistache::Tcp::Options::NoDelay)
                      .backlog(1024)
                      .maxRequestSize(kMaxRequestBytes)
                      .headerTimeout(kTimeLimit)
                      .bodyTimeout(kTimeLimit)
                      .keepaliveTimeout(kTimeLimit));
  if (!crash) {
    crash = [] { std::_Exit(kCrashStatus); };
  }
  endpoint_->setHandler(
      std::make_shared<FakeEngineHandler>(state_, std::move(crash)));
  endpoint_->serveThreaded();
  address_ = "127.0.0.1:" + std::to_string(endpoint_->getPort());
}

FakeEngine::~FakeEngine() {
  endpoint_->shutdown();
}

}  // namespace flamingogauge
