#include "tests/auto/gateway/gateway_host.h"

#include <fcntl.h>
#include <sys/socket.h>

#include <stdexcept>
#include <thread>
#include <utility>

#include "libs/kernel/boot_clock.h"
#include "plugins/gateway/gateway_plugin.h"
#include "plugins/telemetry/telemetry_plugin.h"
#include "tests/support/free_address.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kReadyTimeLimit{5000};

GatewaySettings TestSettings() {
  return {.host = "h1",
          .data_centre = "d1",
          .listen_address = FreeAddress(SOCK_STREAM),
          .status_address = FreeAddress(SOCK_STREAM),
          .report_address = FreeAddress(SOCK_DGRAM),
          .regions = {{"d1", "r1"}},
          .headers = {.request_id = "Req-Id",
                      .time_limit_ms = "Limit-Ms",
                      .key = "Key",
                      .workspace = "Workspace",
                      .expected_upstream = "For-Upstream",
                      .not_executed = "Not-Run",
                      .seal = "Seal",
                      .leaving = "Leaving",
                      .rate_limit = "Rate-Limit",
                      .token_count = "Tokens",
                      .length_hint = "Hint",
                      .prompt_prefix = "Parts",
                      .reserved_for_hosts = {"Workspace", "For-Upstream",
                                             "Reserve"}},
          .ready_path = "/ready",
          .drain_time_limit = milliseconds(1500),
          .drain_min_time = milliseconds(100)};
}

Route TestRoute(const std::string& path,
                ExecutionSemantics rule,
                int dispatches) {
  return {.name = path,
          .host = "test",
          .path_prefix = path,
          .execution_semantics = rule,
          .timeout = milliseconds(5000),
          .target_latency = milliseconds(1000),
          .max_event_gap = milliseconds(300),
          .services = {{.service = "s"}},
          .max_dispatches = dispatches};
}

}  // namespace

std::shared_ptr<const RoutingTable> TestRouting() {
  auto table = std::make_shared<RoutingTable>();
  table->version = 3;
  table->AddRoute(TestRoute("/once/", ExecutionSemantics::kAtMostOnce, 1));
  table->AddRoute(TestRoute("/again/", ExecutionSemantics::kIdempotent, 2));
  table->AddRoute(TestRoute("/stream/", ExecutionSemantics::kStream, 1));
  Route resumable = TestRoute("/resume/", ExecutionSemantics::kStream, 2);
  resumable.resumable = true;
  table->AddRoute(resumable);
  Route short_timeout =
      TestRoute("/short/", ExecutionSemantics::kAtMostOnce, 1);
  short_timeout.timeout = milliseconds(300);
  table->AddRoute(short_timeout);
  Route without_key = TestRoute("/open/", ExecutionSemantics::kIdempotent, 1);
  without_key.anonymous = true;
  table->AddRoute(without_key);
  table->workspaces.push_back({.name = "acme"});
  table->AddKey("key-1", 0);
  return table;
}

// Fake of the directory plug-in.
class GatewayHost::FakeFleetSource : public Plugin, public FleetSource {
 public:
  std::string_view Name() const override { return "source"; }
  Result<void> Initialize(ServiceRegistry& registry) override {
    return registry.Register<FleetSource>(kServiceName, this);
  }
  Result<void> ExtensionsInitialized(ServiceRegistry& /*registry*/) override {
    return boost::outcome_v2::success();
  }
  void AboutToShutdown(std::function<void()> done) override { done(); }
  std::string DumpState() const override { return "{}"; }
  Result<void> Subscribe(Listener listener) override {
    listener_ = std::move(listener);
    return boost::outcome_v2::success();
  }
  void OnHostSilent(const std::string& /*host*/) override {}
  void OnHostUnlisted(const std::string& /*host*/) override {}

  void Publish(const FleetSnapshot& snapshot) { listener_(snapshot); }

 private:
  Listener listener_;
};

GatewayHost::GatewayHost(const std::vector<std::string>& upstream_addresses,
                         bool publish,
                         const CrowdLimits& limits)
    : upstreams_(std::make_shared<std::vector<UpstreamEntry>>()) {
  GatewaySettings settings = TestSettings();
  settings.max_held_bytes = limits.max_held_bytes;
  settings.max_connections = limits.max_connections;
  settings.unread_limit = limits.unread_limit;
  address_ = settings.listen_address;
  status_address_ = settings.status_address;
  auto source = std::make_unique<FakeFleetSource>();
  source_ = source.get();
  manager_.Add(std::make_unique<TelemetryPlugin>(EventLogOptions{
      .output = ::open(limits.log_path.c_str(), O_WRONLY | O_APPEND)}));
  manager_.Add(std::move(source));
  manager_.Add(std::make_unique<GatewayPlugin>(settings));
  const Result<void> started = manager_.Start();
  if (!started) {
    throw std::runtime_error(ToString(started.error()));
  }
  for (std::size_t n = 0; n < upstream_addresses.size(); ++n) {
    upstreams_->push_back({.id = "u" + std::to_string(n),
                           .service = "s",
                           .address = upstream_addresses[n],
                           // The first upstream is preferred: same data centre.
                           .data_centre = n == 0 ? "d1" : "d2",
                           .slots = 4});
  }
  if (!publish) {
    return;
  }
  Publish(TestRouting());
  const auto give_up = std::chrono::steady_clock::now() + kReadyTimeLimit;
  while (!upstreams_->empty() && ReadyStatus() != 200 &&
         std::chrono::steady_clock::now() < give_up) {
    std::this_thread::sleep_for(milliseconds(5));
  }
}

GatewayHost::~GatewayHost() = default;

void GatewayHost::RemoveUpstreams() {
  upstreams_ = std::make_shared<std::vector<UpstreamEntry>>();
  Publish(TestRouting());
}

void GatewayHost::Publish(std::shared_ptr<const RoutingTable> routing,
                          milliseconds age) {
  source_->Publish({.routing = std::move(routing),
                    .routing_confirmed_at = BootTimeNow() - age,
                    .upstreams = upstreams_,
                    .hosts = std::make_shared<std::vector<HostEntry>>()});
}

TestAnswer GatewayHost::SendRequest(const std::string& method,
                                    const std::string& path,
                                    const std::string& body) {
  TestConnection connection(address_);
  connection.Send(FormatTestRequest(method, path, TestHeaders(), body));
  return connection.ReadAnswer();
}

TestAnswer GatewayHost::GetStatus(const std::string& path) {
  TestConnection connection(status_address_);
  connection.Send("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n");
  return connection.ReadAnswer();
}

TestAnswer GatewayHost::AskExplain(const std::string& question) {
  TestConnection connection(status_address_);
  connection.Send(FormatTestRequest("POST", "/explain", {}, question));
  return connection.ReadAnswer();
}

int GatewayHost::ReadyStatus() {
  return GetStatus("/ready").status;
}

Result<void> GatewayHost::Reload() {
  return manager_.Reload();
}

bool GatewayHost::Shutdown(milliseconds time_limit) {
  return manager_.Shutdown(time_limit);
}

std::vector<std::string> TestHeaders() {
  return {"Req-Id: id-1", "Key: key-1", "Limit-Ms: 4000"};
}

std::string UpstreamAnswer(const std::string& body,
                           const std::string& request_id) {
  return "HTTP/1.1 200 OK\r\nReq-Id: " + request_id +
         "\r\nSeal: s1\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

}  // namespace flamingogauge
