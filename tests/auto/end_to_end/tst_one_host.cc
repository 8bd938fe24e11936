#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "libs/digest/sha256.h"
#include "libs/kernel/plugin_manager.h"
#include "plugins/callers/callers_plugin.h"
#include "plugins/claims/claims_plugin.h"
#include "plugins/operators/operators_plugin.h"
#include "plugins/peers/peers_plugin.h"
#include "plugins/platform/platform_plugin.h"
#include "plugins/requests/requests_plugin.h"
#include "plugins/scheduler/scheduler_plugin.h"
#include "plugins/upstreams/upstreams_plugin.h"
#include "tests/fakes/static_configuration/static_configuration.h"
#include "tests/support/test_connection.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr char kToken[] = "operators-token";

Document MakeDocument() {
  Document document;
  document.revision = 1;
  document.tiers = {{.name = "urgent"}, {.name = "bulk"}};
  document.workspaces = {{.id = "w",
                          .key_hashes = {Sha256Hex("secret")},
                          .default_tier = 1,
                          .highest_tier = 0}};
  document.models = {{.id = "m"}};
  document.services = {{.id = "bookings"}};
  document.upstreams = {{.id = "engine-1",
                         .kind = UpstreamKind::kEngine,
                         .targets = {"m"},
                         .data_centre = "local",
                         .address = "127.0.0.1:1",
                         .generation = "a",
                         .token_capacity = 100000},
                        {.id = "booking-1",
                         .kind = UpstreamKind::kService,
                         .targets = {"bookings"},
                         .data_centre = "local",
                         .address = "127.0.0.1:2"}};
  document.data_centres = {{.id = "local", .region = "local", .host_slots = 1}};
  document.workspace_by_key_hash[Sha256Hex("secret")] = 0;
  return document;
}

// Runs all plugins of a host in this process, with the echo upstream client.
class InProcessHost {
 public:
  InProcessHost(const InProcessHost&) = delete;
  InProcessHost& operator=(const InProcessHost&) = delete;

  InProcessHost() {
    CallersSettings callers;
    callers.server.address = "127.0.0.1:0";
    auto callers_plugin = std::make_unique<CallersPlugin>(callers);
    callers_ = callers_plugin.get();
    auto operators_plugin = std::make_unique<OperatorsPlugin>(
        OperatorsSettings{.address = "127.0.0.1:0", .token = kToken});
    operators_ = operators_plugin.get();
    manager.Add(std::make_unique<PlatformPlugin>(PlatformSettings{}));
    manager.Add(std::make_unique<StaticConfiguration>(MakeDocument()));
    manager.Add(std::make_unique<PeersPlugin>(PeersSettings{}));
    UpstreamsSettings upstreams;
    upstreams.echo = true;
    manager.Add(std::make_unique<UpstreamsPlugin>(upstreams));
    manager.Add(std::make_unique<ClaimsPlugin>(ClaimsSettings{}));
    manager.Add(std::make_unique<SchedulerPlugin>(SchedulerSettings{}));
    manager.Add(std::make_unique<RequestsPlugin>(RequestsSettings{}));
    manager.Add(std::move(callers_plugin));
    manager.Add(std::move(operators_plugin));
    const Result<void> started = manager.Start();
    if (!started) {
      FAIL(ToString(started.error()));
    }
  }

  // Drains before the plugins are destroyed, as main() does.
  ~InProcessHost() { manager.Shutdown(milliseconds(5000)); }

  std::string callers_address() const { return callers_->ListeningAddress(); }
  std::string operators_address() const {
    return operators_->ListeningAddress();
  }

  PluginManager manager;

 private:
  CallersPlugin* callers_;
  OperatorsPlugin* operators_;
};

std::string ChatRequest(const std::string& prompt, bool stream) {
  return FormatTestRequest(
      "POST", "/v1/chat/completions", {"Authorization: Bearer secret"},
      R"({"model":"m","messages":[{"role":"user","content":")" + prompt +
          R"("}],"stream":)" + (stream ? "true" : "false") + "}");
}

TestAnswer Ask(const std::string& address, const std::string& request) {
  TestConnection connection(address);
  REQUIRE(connection.Send(request));
  return connection.ReadAnswer();
}

TestAnswer AskOperators(const InProcessHost& host,
                        const std::string& method,
                        const std::string& path) {
  return Ask(
      host.operators_address(),
      FormatTestRequest(method, path,
                        {std::string("Authorization: Bearer ") + kToken}, ""));
}

// Guards against plugins that do not work together on the path from the caller
// to the upstream, for streamed and for non-streamed responses.
TEST_CASE("one host serves streamed and non-streamed completions") {
  InProcessHost host;
  const TestAnswer streamed =
      Ask(host.callers_address(), ChatRequest("one two three", true));
  CHECK(streamed.status == 200);
  CHECK(streamed.complete);
  const auto events = streamed.Events();
  REQUIRE(events.size() >= 2);
  CHECK(events.back() == "[DONE]");
  const TestAnswer unstreamed =
      Ask(host.callers_address(), ChatRequest("one two three", false));
  CHECK(unstreamed.status == 200);
  CHECK(unstreamed.body.find("\"object\":\"chat.completion\"") !=
        std::string::npos);
  CHECK(unstreamed.body.find("one two three") != std::string::npos);
}

// Guards against a second execution of a booking that is retried with the same
// idempotency key.
TEST_CASE("one host executes a retried booking once") {
  InProcessHost host;
  const std::string booking = FormatTestRequest(
      "POST", "/v1/services/bookings/new",
      {"Authorization: Bearer secret", "Idempotency-Key: k1"}, "{\"day\":1}");
  // Bookings are refused with the run status attempt-not-run until the claims
  // plugin has read the store; retry until then.
  TestAnswer first = Ask(host.callers_address(), booking);
  const auto deadline = std::chrono::steady_clock::now() + milliseconds(5000);
  while (first.status == 503 && std::chrono::steady_clock::now() < deadline) {
    CHECK(first.headers.at("flamingogauge-run-status") == "attempt-not-run");
    std::this_thread::sleep_for(milliseconds(5));
    first = Ask(host.callers_address(), booking);
  }
  CHECK(first.status == 200);
  CHECK(first.headers.count("flamingogauge-replayed") == 0);
  const TestAnswer second = Ask(host.callers_address(), booking);
  CHECK(second.status == 200);
  CHECK(second.body == first.body);
  CHECK(second.headers.count("flamingogauge-replayed") == 1);
  const TestAnswer other = Ask(
      host.callers_address(),
      FormatTestRequest("POST", "/v1/services/bookings/new",
                        {"Authorization: Bearer secret", "Idempotency-Key: k1"},
                        "{\"day\":2}"));
  CHECK(other.status == 422);
}

// Guards against operator endpoints that skip authorization or return a status
// or body that operators' tools do not expect.
TEST_CASE("one host serves the operator endpoints") {
  InProcessHost host;
  for (const char* path : {"/healthz", "/readyz"}) {
    CHECK(Ask(host.operators_address(), FormatTestRequest("GET", path, {}, ""))
              .status == 200);
  }
  for (const char* path : {"/metrics", "/debug/state", "/status", "/document",
                           "/drain", "/quarantine"}) {
    CHECK(Ask(host.operators_address(),
              FormatTestRequest("GET", path,
                                {"Authorization: Bearer operators-tokeN"}, ""))
              .status == 401);
  }
  Ask(host.callers_address(), ChatRequest("hello", true));
  struct Row {
    const char* method;
    const char* path;
    int status;
    const char* text;
  };
  for (const Row& row :
       {Row{"GET", "/metrics", 200,
            "flamingogauge_goodput_total{tier=\"bulk\"} 1"},
        Row{"GET", "/debug/state", 200, "\"address\":\"127.0.0.1:"},
        Row{"GET", "/status", 200, "\"document_revision\":1"},
        Row{"GET", "/document?revision=7", 200, "{\"revision\":7}"},
        Row{"GET", "/document?revision=x", 400, "revision is x"},
        Row{"GET", "/document/history", 200, "[]"},
        Row{"POST", "/document/tiers?expected_revision=1&author=a%20b", 200,
            "\"revision\":2"},
        Row{"POST", "/document/tiers?expected_revision=9&author=a", 409,
            "expected 1"},
        Row{"POST", "/document/bad?expected_revision=1&author=a", 422,
            "\"path\":\"/0\""},
        Row{"POST", "/document/tiers?author=a", 400, "expected_revision"},
        Row{"GET", "/nothing", 404, "unknown"}}) {
    CAPTURE(row.path);
    const TestAnswer answer = AskOperators(host, row.method, row.path);
    CHECK(answer.status == row.status);
    CHECK(answer.body.find(row.text) != std::string::npos);
  }
}

// Guards against a host that reports ready or accepts requests during a planned
// stop (I7).
TEST_CASE("one host refuses new work while it drains") {
  InProcessHost host;
  CHECK(host.manager.Shutdown(milliseconds(5000)));
  CHECK(
      Ask(host.operators_address(), FormatTestRequest("GET", "/readyz", {}, ""))
          .status == 503);
  const TestAnswer answer =
      Ask(host.callers_address(), ChatRequest("late", true));
  CHECK(answer.status == 503);
  CHECK(answer.headers.at("flamingogauge-run-status") == "not-run");
}

}  // namespace
}  // namespace flamingogauge
