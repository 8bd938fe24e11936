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
  int max_concurrency = 64;
  // Milliseconds from acceptance to the end of an answer.
  int deadline_ms = 30000;
  // False to start hosts for a document without upstreams.
  bool with_upstreams = true;
};

// Entry hosts of one data centre with a fake platform, fake engines and a fake
// booking service, all as processes on loopback addresses.
class Deployment {
 public:
  struct Host {
    std::unique_ptr<ChildProcess> process;
    std::string callers;
    std::string operators;
    std::string peers;
  };

  explicit Deployment(const DeploymentOptions& options);

  // Waits until all hosts are ready and see each other.
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
                 const std::vector<std::string>& more_arguments);
  std::string WriteDocument(const DeploymentOptions& options) const;

  Fake platform_;
  std::vector<Fake> engines_;
  Fake service_;
  std::vector<Host> hosts_;
};

// Sends one request on a connection of its own.
TestAnswer Ask(const std::string& address, const std::string& request);

// A chat completion request of the workspace "w".
std::string ChatRequest(const std::string& prompt, bool stream, int max_tokens);

// A booking of the workspace "w".
std::string BookingRequest(const std::string& key);

// The text in the answer to a chat completion of either shape.
std::string AnswerText(const TestAnswer& answer);

// Repeats until the condition holds; false after 20 s.
bool Eventually(const std::function<bool()>& condition);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_AUTO_END_TO_END_DEPLOYMENT_H_
