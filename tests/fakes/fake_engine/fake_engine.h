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

// A model engine in this process that answers on a loopback address.
class FakeEngine {
 public:
  // Listens on 127.0.0.1 and `port`, or on a port that the kernel chooses when
  // it is 0. `crash` replaces the end of the process on a crashing prompt.
  // Throws std::runtime_error when the port is taken.
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
