#include <doctest/doctest.h>
#include <gflags/gflags.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

#include "tests/auto/gateway/gateway_host.h"
#include "tests/support/scripted_server.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against load balancers sending callers to a host that cannot serve
// them.
TEST_CASE("a host is ready only with a fresh document and upstreams") {
  ScriptedServer upstream({});
  GatewayHost without({});
  CHECK(without.ReadyStatus() == 503);
  GatewayHost host({upstream.address()});
  CHECK(host.ReadyStatus() == 200);
  host.Publish(TestRouting(), seconds(10));
  CHECK(host.ReadyStatus() == 503);
  host.Publish(nullptr);
  CHECK(host.ReadyStatus() == 503);
}

// Guards against requests that are not counted, or counted under the wrong
// reason.
TEST_CASE("the metrics count requests by route and outcome") {
  ScriptedServer upstream({[](ScriptedConnection& connection) {
    connection.ReadRequest();
    connection.Write(UpstreamAnswer("ok"));
  }});
  GatewayHost host({upstream.address()});
  CHECK(host.SendRequest("POST", "/once/", "a").status == 200);
  CHECK(host.SendRequest("POST", "/none/", "a").status == 404);
  const std::string metrics = host.GetStatus("/metrics").body;
  for (const char* it :
       {"flamingogauge_requests_total{outcome=\"answered\"} 1",
        "flamingogauge_route_requests_total{route=\"/once/\"} 1",
        "flamingogauge_route_seconds_count{route=\"/once/\"} 1",
        "flamingogauge_unanswered_total{reason=\"no route\"} 1",
        "flamingogauge_upstreams 1", "flamingogauge_upstreams_suspect 0",
        "flamingogauge_places 4", "flamingogauge_places_taken 0"}) {
    CHECK_MESSAGE(metrics.find(it) != std::string::npos, it, "\n", metrics);
  }
}

// Guards against a lowered limit that a running host ignores, and against
// invalid settings that replace valid ones.
TEST_CASE("a reload applies the limits of the flags") {
  ScriptedServer upstream({});
  GatewayHost host({upstream.address()});
  host.Publish(TestRouting(), seconds(2));
  CHECK(host.ReadyStatus() == 200);
  const gflags::FlagSaver saver;
  for (const char* it : {"host_report_address", "gateway_listen_address",
                         "gateway_status_address"}) {
    gflags::SetCommandLineOption(it, "127.0.0.1:1");
  }
  gflags::SetCommandLineOption("key_revocation_limit_ms", "2500");
  CHECK(host.Reload());
  CHECK(host.ReadyStatus() == 503);
  gflags::SetCommandLineOption("key_revocation_limit_ms", "1");
  CHECK_FALSE(host.Reload());
  gflags::SetCommandLineOption("key_revocation_limit_ms", "5000");
  CHECK(host.Reload());
  CHECK(host.ReadyStatus() == 200);
}

// Guards against refusals by a host that has just started: callers connect
// before the response to its first read of the store arrives.
TEST_CASE("requests that arrive during the start wait for the document") {
  ScriptedServer upstream({[](ScriptedConnection& connection) {
    connection.ReadRequest();
    connection.Write(UpstreamAnswer("ok"));
  }});
  GatewayHost host({upstream.address()}, /*publish=*/false);
  TestConnection connection(host.address());
  connection.Send(FormatTestRequest("POST", "/once/", TestHeaders(), "a"));
  std::this_thread::sleep_for(milliseconds(50));
  host.Publish(TestRouting());
  CHECK(connection.ReadAnswer().status == 200);
}

// Guards against callers waiting indefinitely for the first routing document.
TEST_CASE("a host without a routing document refuses requests after start-up") {
  GatewayHost host({}, /*publish=*/false);
  const TestAnswer answer = host.SendRequest("POST", "/once/", "a");
  CHECK(answer.status == 503);
  CHECK(answer.headers.contains("retry-after"));
}

// Guards against a planned shutdown that interrupts a request, or closes
// connections without announcing it to callers.
TEST_CASE("a shutdown completes requests in progress and announces the close") {
  std::atomic<bool> release = false;
  ScriptedServer upstream({[&release](ScriptedConnection& connection) {
    connection.ReadRequest();
    while (!release) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    connection.Write(UpstreamAnswer("late"));
  }});
  GatewayHost host({upstream.address()});
  TestConnection busy(host.address());
  busy.Send(FormatTestRequest("POST", "/once/", TestHeaders(), "a"));
  TestConnection idle(host.address());
  while (upstream.Requests().empty()) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  bool complete = false;
  std::thread stopper(
      [&host, &complete] { complete = host.Shutdown(seconds(30)); });
  while (host.ReadyStatus() == 200) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  release = true;
  const TestAnswer answer = busy.ReadAnswer();
  CHECK(answer.status == 200);
  CHECK(answer.body == "late");
  CHECK(answer.headers.at("connection") == "close");
  stopper.join();
  CHECK(complete);
  CHECK(idle.ReadsEnd());
}

}  // namespace
}  // namespace flamingogauge
