#ifndef FLAMINGOGAUGE_TESTS_AUTO_CROWDS_GATEWAY_PROCESS_H_
#define FLAMINGOGAUGE_TESTS_AUTO_CROWDS_GATEWAY_PROCESS_H_

#include <future>
#include <memory>
#include <string>
#include <vector>

#include "tests/fakes/fake_object_store/fake_object_store.h"
#include "tests/support/child_process.h"
#include "tests/support/scripted_server.h"

namespace flamingogauge {

// A gateway as a process of its own, with a store and upstreams in the test.
// Its routes, by path:
//   /small/   an answer of 100 bytes
//   /big/     an answer of 200,000 bytes
//   /stream/  a stream of 2,000,000 bytes
//   /late/    to an upstream that does not read bodies and does not answer
//   /endless/KIND/, /endless-stream/KIND/  to an upstream that writes bytes
//             without end, see EndlessKinds(); the latter is resumable
// Bodies of 4,194,304 bytes are allowed.
class GatewayProcess {
 public:
  explicit GatewayProcess(const ChildProcessOptions& options);
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;
  ~GatewayProcess();

  const std::string& address() const { return address_; }
  const std::string& status_address() const { return status_address_; }
  ChildProcess& process() { return *process_; }
  // Requests that the upstreams have received.
  std::size_t UpstreamRequests() const { return upstream_.Requests().size(); }

  // Sends a request for /small/ as an ordinary client does, again after a
  // refusal or a closed connection. Returns whether it was answered.
  bool AnswersOrdinaryRequest() const;

 private:
  void FillStore();

  std::promise<void> end_of_test_;
  ScriptedServer upstream_;
  ScriptedServer late_upstream_;
  ScriptedServer endless_upstream_;
  FakeObjectStore store_;
  const std::string address_;
  const std::string status_address_;
  std::unique_ptr<ChildProcess> process_;
};

// What an upstream may write without end, such as a field of the head.
std::vector<std::string> EndlessKinds();

// Formats a request without a body to the gateway.
std::string GatewayRequest(const std::string& path,
                           const std::string& request_id = "id-1");

// Formats a request with a body of `length` bytes, of which only the first
// `sent` are there.
std::string GatewayUpload(const std::string& path,
                          std::size_t length,
                          std::size_t sent);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_AUTO_CROWDS_GATEWAY_PROCESS_H_
