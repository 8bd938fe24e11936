#ifndef FLAMINGOGAUGE_TESTS_AUTO_GATEWAY_GATEWAY_HOST_H_
#define FLAMINGOGAUGE_TESTS_AUTO_GATEWAY_GATEWAY_HOST_H_

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "libs/kernel/plugin_manager.h"
#include "libs/services/fleet_source.h"
#include "tests/support/test_connection.h"

namespace flamingogauge {

// Returns a routing document with these routes, by path:
//   /once/    at most once, one dispatch
//   /again/   idempotent, two dispatches
//   /stream/  a stream that cannot be resumed
//   /resume/  a resumable stream, two dispatches
//   /short/   at most once, with a timeout of 300 ms
//   /open/    anonymous
// The key "key-1" belongs to the workspace "acme".
std::shared_ptr<const RoutingTable> TestRouting();

// The bounds on what callers may occupy; those of GatewaySettings by default.
struct CrowdLimits {
  std::size_t max_held_bytes = std::size_t{64} << 20U;
  std::size_t max_connections = 4096;
  std::chrono::milliseconds unread_limit{15000};
  // The file that log lines are appended to.
  std::string log_path = "/dev/null";
};

// Runs a gateway in the test process with fleet data published by the test.
class GatewayHost {
 public:
  // Starts the gateway with upstreams "u0", "u1" and so on at the given
  // addresses. Publishes the routing document if `publish`.
  explicit GatewayHost(const std::vector<std::string>& upstream_addresses,
                       bool publish = true,
                       const CrowdLimits& limits = {});
  GatewayHost(const GatewayHost&) = delete;
  GatewayHost& operator=(const GatewayHost&) = delete;
  ~GatewayHost();

  // Publishes the routing document as confirmed `age` ago; null for none.
  void Publish(std::shared_ptr<const RoutingTable> routing,
               std::chrono::milliseconds age = std::chrono::milliseconds(0));

  // Publishes a list without upstreams.
  void RemoveUpstreams();

  // Sends a request with TestHeaders() and returns the response.
  TestAnswer SendRequest(const std::string& method,
                         const std::string& path,
                         const std::string& body = "");

  const std::string& address() const { return address_; }
  // Sends a GET request to the status address.
  TestAnswer GetStatus(const std::string& path);
  // Sends a question about a request to the status address.
  TestAnswer AskExplain(const std::string& question);
  // Returns the HTTP status of the readiness check.
  int ReadyStatus();
  // Reloads the settings from the flags of this process.
  Result<void> Reload();
  // Shuts down as on a signal; returns false if the time limit was exceeded.
  bool Shutdown(std::chrono::milliseconds time_limit);

 private:
  class FakeFleetSource;

  PluginManager manager_;
  FakeFleetSource* source_ = nullptr;
  std::shared_ptr<std::vector<UpstreamEntry>> upstreams_;
  std::string address_;
  std::string status_address_;
};

// Returns the header fields of a valid request.
std::vector<std::string> TestHeaders();

// Returns a successful upstream response.
std::string UpstreamAnswer(const std::string& body,
                           const std::string& request_id = "id-1");

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_AUTO_GATEWAY_GATEWAY_HOST_H_
