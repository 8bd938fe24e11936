// A gateway whose upstreams state how many requests per second they take.
#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "tests/auto/gateway/gateway_host.h"
#include "tests/support/scripted_server.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

// Guards against a gateway that does not pass on to the placement what a
// response states.
TEST_CASE("a gateway keeps to the limit that a response states") {
  const std::string answer = UpstreamAnswer("ok");
  const std::size_t end_of_status = answer.find("\r\n") + 2;
  const std::string limited = answer.substr(0, end_of_status) +
                              "Rate-Limit: 2\r\n" +
                              answer.substr(end_of_status);
  const auto always = [](const std::string& bytes) {
    return std::vector<ScriptedServer::Script>(
        1024, [bytes](ScriptedConnection& connection) {
          while (!connection.ReadRequest().empty()) {
            connection.Write(bytes);
          }
        });
  };
  ScriptedServer in_need(always(limited));
  ScriptedServer other(always(answer));
  GatewayHost host({in_need.address(), other.address()});
  constexpr milliseconds kTime{2000};
  const auto start = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() - start < kTime) {
    CHECK(host.SendRequest("GET", "/again/").status == 200);
    std::this_thread::sleep_for(milliseconds(10));
  }
  // One and a half times the limit, and five.
  CHECK(in_need.Requests().size() <= 11);
}

}  // namespace
}  // namespace flamingogauge
