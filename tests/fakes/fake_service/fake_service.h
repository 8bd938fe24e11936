#ifndef FLAMINGOGAUGE_TESTS_FAKES_FAKE_SERVICE_FAKE_SERVICE_H_
#define FLAMINGOGAUGE_TESTS_FAKES_FAKE_SERVICE_FAKE_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace Pistache::Http {
class Endpoint;
}

namespace flamingogauge {

struct FakeServiceFaults {
  // From the execution to the answer.
  std::chrono::milliseconds delay{0};
  // Executes and then closes the connection without an answer.
  bool drop_answer = false;
  // Answers 503 with X-Not-Executed before executing.
  bool refuse = false;
  // Appends this many bytes to each answer.
  std::size_t padding = 0;
};

// A booking service in this process. Each call that is not a GET executes a
// booking, whatever its key, and is counted. GET /executions returns the
// counts; POST /fault sets the faults.
class FakeService {
 public:
  // Listens on 127.0.0.1; port 0 lets the kernel choose. Throws
  // std::runtime_error when the port is taken.
  explicit FakeService(std::uint16_t port, int threads = 4);
  ~FakeService();
  FakeService(const FakeService&) = delete;
  FakeService& operator=(const FakeService&) = delete;

  // "ip:port".
  const std::string& address() const { return address_; }
  void SetFaults(const FakeServiceFaults& faults);
  // How often a booking with this key was executed.
  std::uint64_t Executions(const std::string& key) const;

 private:
  class Handler;
  struct State {
    mutable std::mutex mutex;
    FakeServiceFaults faults;
    std::uint64_t reads = 0;
    std::uint64_t total = 0;
    std::map<std::string, std::uint64_t> by_key;
  };

  std::shared_ptr<State> state_;
  std::unique_ptr<Pistache::Http::Endpoint> endpoint_;
  std::string address_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_FAKES_FAKE_SERVICE_FAKE_SERVICE_H_
