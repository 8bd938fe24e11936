#ifndef FLAMINGOGAUGE_TESTS_AUTO_GATEWAY_GATEWAY_HOST_H_
#define FLAMINGOGAUGE_TESTS_AUTO_GATEWAY_GATEWAY_HOST_H_

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "libs/kernel/plugin_manager.h"
#include "libs/services/fleet_source.h"
#include "tests/support/test_connection.h"

namespace flamingogauge {

// The routes of the test's document, by path:
//   /once/    at most once, one dispatch
//   /again/   idempotent, two dispatches
//   /stream/  a stream that cannot be resumed
//   /resume/  a resumable stream, two dispatches
//   /short/   at most once, with a timeout of 300 ms
//   /open/    anonymous
// The key "key-1" belongs to the workspace "acme".
std::shared_ptr<const RoutingTable> TestRouting();

// A gateway in this process, fed by the test instead of a directory.
class GatewayHost {
 public:
  // Starts with an upstream "u0", "u1" and so on at each address, and publishes
  // the document unless told otherwise.
  explicit GatewayHost(const std::vector<std::string>& upstream_addresses,
                       bool publish = true);
  GatewayHost(const GatewayHost&) = delete;
  GatewayHost& operator=(const GatewayHost&) = delete;
  ~GatewayHost();

  // Publishes the document as confirmed `age` ago; null for none.
  void Publish(std::shared_ptr<const RoutingTable> routing,
               std::chrono::milliseconds age = std::chrono::milliseconds(0));

  // Sends a request with the test's key and id, and reads the answer.
  TestAnswer Ask(const std::string& method,
                 const std::string& path,
                 const std::string& body = "");

  const std::string& address() const { return address_; }
  // Reads a path of the status address.
  TestAnswer GetStatus(const std::string& path);
  // The status of the readiness check.
  int ReadyStatus();
  // Lets the gateway read the flags of this process.
  Result<void> Reload();
  // Stops as at a signal; true when everything ended in time.
  bool Shutdown(std::chrono::milliseconds time_limit);

 private:
  class Source;

  PluginManager manager_;
  Source* source_ = nullptr;
  std::shared_ptr<std::vector<UpstreamEntry>> upstreams_;
  std::string address_;
  std::string status_address_;
};

// The fields of a proper request to the gateway.
std::vector<std::string> TestHeaders();

// A success as an upstream writes it.
std::string UpstreamAnswer(const std::string& body,
                           const std::string& request_id = "id-1");

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_AUTO_GATEWAY_GATEWAY_HOST_H_
