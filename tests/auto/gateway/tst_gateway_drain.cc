#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "tests/auto/gateway/gateway_host.h"
#include "tests/support/scripted_server.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

// Half of the time limit of a drain in these tests.
constexpr milliseconds kUpstreamDelay{500};

// Shuts a gateway down and ends it, as a process does that exits once it has
// drained.
class PlannedStop {
 public:
  explicit PlannedStop(std::unique_ptr<GatewayHost> host)
      : thread_([host = std::move(host), this]() mutable {
          is_complete_ = host->Shutdown(std::chrono::seconds(30));
          host.reset();
        }) {}
  PlannedStop(const PlannedStop&) = delete;
  PlannedStop& operator=(const PlannedStop&) = delete;
  ~PlannedStop() {
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  bool Wait() {
    thread_.join();
    return is_complete_;
  }

 private:
  bool is_complete_ = false;
  std::thread thread_;
};

struct ArrivalCase {
  std::string name;
  // How much of the request is sent before the shutdown begins.
  std::size_t early_bytes;
  // When the rest is sent, after the shutdown has begun. The idle connections
  // are closed after 100 ms.
  milliseconds rest_after;
  int status;
};

// Guards against a planned stop that ends, with most of its time left, while a
// request arrives: the request is read whole, sent to an upstream and cut off
// with the process.
TEST_CASE("a host does not exit while a request arrives") {
  const std::string request =
      FormatTestRequest("POST", "/once/", TestHeaders(), "body");
  for (const ArrivalCase& it :
       {ArrivalCase{"in the middle of its head", 10, milliseconds(300), 200},
        ArrivalCase{"in the middle of its body", request.size() - 2,
                    milliseconds(300), 200},
        ArrivalCase{"as the idle connections are closed", request.size() - 2,
                    milliseconds(100), 200},
        ArrivalCase{"late in the grace period", request.size() - 2,
                    milliseconds(700), 200}}) {
    CAPTURE(it.name);
    ScriptedServer upstream({[](ScriptedConnection& connection) {
      connection.ReadRequest();
      std::this_thread::sleep_for(kUpstreamDelay);
      connection.Write(UpstreamAnswer("late"));
    }});
    auto host = std::make_unique<GatewayHost>(
        std::vector<std::string>{upstream.address()});
    TestConnection connection(host->address());
    connection.Send(request.substr(0, it.early_bytes));
    std::this_thread::sleep_for(milliseconds(50));
    PlannedStop stop(std::move(host));
    std::this_thread::sleep_for(it.rest_after);
    connection.Send(request.substr(it.early_bytes));
    const TestAnswer answer = connection.ReadAnswer();
    CHECK(answer.status == it.status);
    CHECK(answer.body == "late");
    CHECK(stop.Wait());
  }
}

// Guards against a planned stop that ends while a finished response is still
// queued for a caller on a slow link.
TEST_CASE("a host does not exit before its responses have been written") {
  const std::string body(240000, 'b');
  ScriptedServer upstream({[&body](ScriptedConnection& connection) {
    connection.ReadRequest();
    connection.Write(UpstreamAnswer(body));
    connection.HoldOpen();
  }});
  auto host = std::make_unique<GatewayHost>(
      std::vector<std::string>{upstream.address()});
  TestConnection connection(host->address(), {.has_small_buffers = true});
  connection.Send(FormatTestRequest("POST", "/once/", TestHeaders(), "a"));
  std::this_thread::sleep_for(milliseconds(100));
  PlannedStop stop(std::move(host));
  // Longer than an idle host takes to exit.
  std::this_thread::sleep_for(milliseconds(700));
  const TestAnswer answer = connection.ReadAnswer();
  CHECK(answer.complete);
  CHECK(answer.body == body);
  CHECK(stop.Wait());
}

struct UnreadCase {
  std::string name;
  std::string version;
  // How long nothing is read before the shutdown begins.
  milliseconds unread_for;
  // The drain's limit is 1500 ms.
  milliseconds ends_within;
};

// Guards against a caller that sent a request ahead and does not read, which
// keeps a host from exiting, and against a response that looks complete though
// the host has ended before it was written.
TEST_CASE("a host does not wait for a caller that reads nothing") {
  const std::string body(240000, 'b');
  for (const UnreadCase& it :
       {UnreadCase{"for long", "HTTP/1.1", milliseconds(2300),
                   milliseconds(1400)},
        UnreadCase{"for long, with a last response", "HTTP/1.0",
                   milliseconds(2300), milliseconds(1400)},
        UnreadCase{"until the limit, with a last response", "HTTP/1.0",
                   milliseconds(100), milliseconds(5000)}}) {
    CAPTURE(it.name);
    ScriptedServer upstream({[&body](ScriptedConnection& connection) {
      connection.ReadRequest();
      connection.Write(UpstreamAnswer(body));
      connection.HoldOpen();
    }});
    auto host = std::make_unique<GatewayHost>(
        std::vector<std::string>{upstream.address()});
    TestConnection connection(host->address(), {.has_small_buffers = true});
    std::string request =
        FormatTestRequest("POST", "/once/", TestHeaders(), "a");
    request.replace(request.find("HTTP/1.1"), 8, it.version);
    REQUIRE(connection.Send(request + request));
    std::this_thread::sleep_for(it.unread_for);
    const auto start = std::chrono::steady_clock::now();
    PlannedStop stop(std::move(host));
    CHECK(stop.Wait());
    CHECK(std::chrono::steady_clock::now() - start < it.ends_within);
    CHECK_FALSE(connection.ReadToEnd().has_value());
  }
}

// Guards against an idle connection, or one whose request never comes, that
// keeps a host from exiting.
TEST_CASE("a host exits although connections are open") {
  for (const std::string& sent : {std::string(), std::string("POST /once/ ")}) {
    CAPTURE(sent);
    ScriptedServer upstream({});
    auto host = std::make_unique<GatewayHost>(
        std::vector<std::string>{upstream.address()});
    TestConnection connection(host->address());
    connection.Send(sent);
    std::this_thread::sleep_for(milliseconds(50));
    const auto start = std::chrono::steady_clock::now();
    PlannedStop stop(std::move(host));
    CHECK(stop.Wait());
    CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(5));
    CHECK(connection.ReadsEnd());
  }
}

}  // namespace
}  // namespace flamingogauge
