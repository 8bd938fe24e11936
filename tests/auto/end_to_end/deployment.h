#ifndef FLAMINGOGAUGE_TESTS_AUTO_END_TO_END_DEPLOYMENT_H_
#define FLAMINGOGAUGE_TESTS_AUTO_END_TO_END_DEPLOYMENT_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "tests/support/child_process.h"
#include "tests/support/test_connection.h"

namespace flamingogauge {

struct DeploymentOptions {
  int hosts = 1;
  int engines = 1;
  std::vector<std::string> engine_arguments;
  std::vector<std::string> service_arguments;
  std::vector<std::string> host_arguments;
  ChildProcessOptions host_process;
  int max_concurrency = 64;
  // Time limit of a request in milliseconds, from its acceptance to the end of
  // the response.
  int deadline_ms = 30000;
  // Whether the initial document lists the engines and the booking service.
  bool with_upstreams = true;
};

// Runs the hosts of one data centre, a fake platform, fake engines and a fake
// booking service as child processes on loopback addresses.
class Deployment {
 public:
  struct Host {
    std::unique_ptr<ChildProcess> process;
    std::string callers;
    std::string operators;
    std::string peers;
  };

  explicit Deployment(const DeploymentOptions& options);

  // Waits until every host reports that it is ready and lists all hosts as
  // members. Fails the test after 20 s for a host.
  void WaitUntilReady();

  Host& host(std::size_t index) { return hosts_.at(index); }
  ChildProcess& engine(std::size_t index) {
    return *engines_.at(index).process;
  }
  const std::string& engine_address(std::size_t index) const {
    return engines_.at(index).address;
  }
  const std::string& service_address() const { return service_.address; }
  const std::string& platform_address() const { return platform_.address; }

  TestAnswer AskOperators(std::size_t host,
                          const std::string& method,
                          const std::string& path,
                          const std::string& body = "") const;

 private:
  struct Fake {
    std::unique_ptr<ChildProcess> process;
    std::string address;
  };

  static Fake StartFake(const std::string& program,
                        const std::vector<std::string>& arguments);
  void StartHost(int number,
                 const std::string& document_file,
                 const DeploymentOptions& options);
  std::string WriteDocument(const DeploymentOptions& options) const;

  Fake platform_;
  std::vector<Fake> engines_;
  Fake service_;
  std::vector<Host> hosts_;
};

// Sends a request on a new connection and returns the response, or a
// default-constructed one if the request could not be sent.
TestAnswer Ask(const std::string& address, const std::string& request);

// Formats a chat completion request of the workspace "w".
std::string ChatRequest(const std::string& prompt, bool stream, int max_tokens);

// Formats a booking request of the workspace "w" with the idempotency key
// `key`.
std::string BookingRequest(const std::string& key);

// Returns the generated text of a chat completion response, streamed or not.
std::string AnswerText(const TestAnswer& answer);

// Polls the condition until it holds. Returns false if it does not within 20 s.
bool Eventually(const std::function<bool()>& condition);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_AUTO_END_TO_END_DEPLOYMENT_H_
