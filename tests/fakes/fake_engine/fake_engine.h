#ifndef FLAMINGOGAUGE_TESTS_FAKES_FAKE_ENGINE_FAKE_ENGINE_H_
#define FLAMINGOGAUGE_TESTS_FAKES_FAKE_ENGINE_FAKE_ENGINE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "tests/fakes/fake_engine/fake_engine_state.h"

namespace Pistache::Http {
class Endpoint;
}

namespace flamingogauge {

// An in-process model engine that listens on a loopback address.
class FakeEngine {
 public:
  // Listens on 127.0.0.1:`port`; with port 0, the kernel chooses the port.
  // `crash` is called instead of exiting the process when a prompt matches
  // FakeEngineFaults::crash_on. Throws std::runtime_error if the port is in
  // use.
  FakeEngine(const FakeEngineOptions& options,
             std::uint16_t port,
             int threads = 2,
             std::function<void()> crash = {});
  ~FakeEngine();
  FakeEngine(const FakeEngine&) = delete;
  FakeEngine& operator=(const FakeEngine&) = delete;

  // "ip:port".
  const std::string& address() const { return address_; }
  FakeEngineState& state() { return *state_; }

 private:
  std::shared_ptr<FakeEngineState> state_;
  std::unique_ptr<Pistache::Http::Endpoint> endpoint_;
  std::string address_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_FAKES_FAKE_ENGINE_FAKE_ENGINE_H_
