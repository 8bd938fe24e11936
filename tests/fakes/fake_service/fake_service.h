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
  // Time from the execution to the response.
  std::chrono::milliseconds delay{0};
  // Executes the call, then closes the connection without a response.
  bool drop_answer = false;
  // Rejects calls with 503 and X-Not-Executed, without executing them.
  bool refuse = false;
  // Number of spaces appended to each response body.
  std::size_t padding = 0;
};

// An in-process booking service. Each call other than GET executes and counts a
// booking; repeated idempotency keys are not deduplicated. GET /executions
// returns the counts and POST /fault sets the faults.
class FakeService {
 public:
  // Listens on 127.0.0.1:`port`; with port 0, the kernel chooses the port.
  // Throws std::runtime_error if the port is in use.
  explicit FakeService(std::uint16_t port, int threads = 4);
  ~FakeService();
  FakeService(const FakeService&) = delete;
  FakeService& operator=(const FakeService&) = delete;

  // "ip:port".
  const std::string& address() const { return address_; }
  void SetFaults(const FakeServiceFaults& faults);
  // Number of bookings executed with this idempotency key.
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
