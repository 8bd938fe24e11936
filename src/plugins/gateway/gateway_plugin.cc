#include "plugins/gateway/gateway_plugin.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <cstdint>
#include <future>
#include <optional>
#include <thread>
#include <utility>

#include "libs/kernel/boot_clock.h"
#include "libs/services/event_log_service.h"
#include "libs/services/fleet_source.h"
#include "libs/services/fleet_store.h"
#include "plugins/gateway/closed_connections.h"
#include "plugins/gateway/coordination_node.h"
#include "plugins/gateway/http_acceptor.h"
#include "plugins/gateway/relay.h"
#include "plugins/gateway/rollout_node.h"
#include "plugins/gateway/status_handler.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTickInterval{50};
constexpr milliseconds kIdleTickInterval{500};
constexpr milliseconds kDrainCheckInterval{50};
// Limits how long a state dump waits for the gateway's thread.
constexpr milliseconds kDumpTimeLimit{500};
// What the status address may hold and accept: enough for the platform, a
// collector of metrics and a person.
constexpr std::size_t kStatusHeldFraction = 8;
constexpr std::size_t kMaxStatusConnections = 64;
// A body counts twice, as it is received and as it is sent, and the buffer of
// each may have twice its size.
constexpr std::size_t kHeldForBodySize = 4;

}  // namespace

struct GatewayPlugin::Private {
  explicit Private(GatewaySettings gateway_settings)
      : settings(std::move(gateway_settings)) {}

  // Accessed only on the gateway's thread once it is running.
  GatewaySettings settings;
  boost::asio::io_context io{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_guard = boost::asio::make_work_guard(io);
  boost::asio::steady_timer tick_timer{io};
  boost::asio::steady_timer drain_timer{io};
  EventLog* log = nullptr;
  FleetSource* source = nullptr;
  MetricsRegistry* metrics = nullptr;
  // Null if roll-outs are not followed. Used by `relay` and `coordination`.
  std::unique_ptr<RolloutNode> rollouts;
  std::unique_ptr<Relay> relay;
  std::unique_ptr<StatusHandler> status;
  std::unique_ptr<ClosedConnections> closed_connections;
  std::unique_ptr<HttpAcceptor> callers;
  std::unique_ptr<HttpAcceptor> status_acceptor;
  std::unique_ptr<CoordinationNode> coordination;
  std::shared_ptr<const std::vector<HostEntry>> hosts;
  std::shared_ptr<const std::vector<UpstreamEntry>> upstreams;
  std::shared_ptr<const RoutingTable> routing;
  // The version of the document that CheckBodyLimit has logged last.
  std::optional<std::uint64_t> logged_body_limit_of;
  std::function<void()> drained;
  std::thread thread;

  VersionGate* Gate() const { return rollouts ? &rollouts->gate() : nullptr; }
  Result<void> MakeRollouts(ServiceRegistry& registry);
  void ConnectRollouts();
  RolloutMessageHandlers RolloutHandlersForMessages();
  std::unique_ptr<CoordinationNode> MakeCoordination();
  void MakeAcceptors();
  void ApplySessionLimits();
  void RegisterHeldGauges();
  void OnFleet(const FleetSnapshot& snapshot);
  // Logs once for each version of the document whose largest body may not fit
  // the memory for callers.
  void CheckBodyLimit(const RoutingTable& document);
  void Tick();
  UnfinishedWork CountUnfinished() const;
  void LogDrain(std::string_view event, const UnfinishedWork& work) const;
  std::string DumpState() const;
  void CheckDrain();
  // Returns the answer to a question in JSON.
  Result<std::string> Explain(const std::string& question) const;
};

Result<void> GatewayPlugin::Private::MakeRollouts(ServiceRegistry& registry) {
  if (!settings.rollouts.is_enabled()) {
    return boost::outcome_v2::success();
  }
  Result<FleetStore*> store =
      registry.Find<FleetStore>(FleetStore::kServiceName);
  if (!store) {
    return store.error();
  }
  rollouts = std::make_unique<RolloutNode>(io, settings, *store.value(), *log,
                                           *metrics);
  return boost::outcome_v2::success();
}

void GatewayPlugin::Private::ConnectRollouts() {
  if (!rollouts) {
    return;
  }
  rollouts->SetHandlers(
      {.running = [this] { return relay->Running(); },
       .is_coordinator = [this] { return coordination->IsCoordinator(); },
       .on_gate_changed =
           [this] {
             relay->SchedulePlacement();
             coordination->OnGateChanged();
           }});
  relay->SetRequestObserver([this](const EndedRequest& request) {
    rollouts->OnRequestEnded(request);
  });
}

RolloutMessageHandlers GatewayPlugin::Private::RolloutHandlersForMessages() {
  if (!rollouts) {
    return {};
  }
  RolloutNode& node = *rollouts;
  return {.complete_state =
              [&node](const std::string& coordinator, HostMessage& message) {
                node.CompleteState(coordinator, message);
              },
          .summary = [&node] { return node.Summary(); },
          .data_centre_report =
              [&node](const std::string& receiver) {
                return node.DataCentreReport(receiver);
              },
          .on_host = [&node](const HostMessage& it) { node.OnHostMessage(it); },
          .on_summary = [&node](const FleetSummary& it) { node.OnSummary(it); },
          .on_data_centre =
              [&node](const FleetSummary& it) { node.OnDataCentreReport(it); }};
}

std::unique_ptr<CoordinationNode> GatewayPlugin::Private::MakeCoordination() {
  return std::make_unique<CoordinationNode>(
      io, settings, relay->process(), relay->placer(), *log, *metrics,
      CoordinationHandlers{
          .complete_state =
              [this](HostMessage& message) { relay->CompleteState(message); },
          .on_placed = [this] { relay->SchedulePlacement(); },
          .on_summary =
              [this](const FleetSummary& summary) {
                relay->OnSummary(summary);
                relay->SetHostCount(coordination->HostCount());
              },
          .on_crash_evidence =
              [this](const CrashEvidence& evidence) {
                relay->OnCrashEvidence(evidence);
              },
          .crash_evidence = [this] { return relay->ReportCrashEvidence(); },
          .is_draining = [this] { return relay->is_draining(); },
          .rollouts = RolloutHandlersForMessages(),
          .on_host_gone =
              [this](const std::string& host) { source->OnHostSilent(host); },
          .on_host_unlisted =
              [this](const std::string& host) {
                source->OnHostUnlisted(host);
              }},
      Gate());
}

void GatewayPlugin::Private::MakeAcceptors() {
  const auto on_closed = [this](CloseReason reason, std::size_t held_bytes) {
    closed_connections->OnClosed(reason, held_bytes, BootTimeNow());
  };
  closed_connections = std::make_unique<ClosedConnections>(*log, *metrics);
  callers = std::make_unique<HttpAcceptor>(
      io, *relay, SessionPoolOptions{.on_closed = on_closed});
  status_acceptor = std::make_unique<HttpAcceptor>(
      io, *status, SessionPoolOptions{.on_closed = on_closed});
  ApplySessionLimits();
  RegisterHeldGauges();
}

void GatewayPlugin::Private::ApplySessionLimits() {
  callers->pool().SetLimits(settings.max_held_bytes, settings.max_connections,
                            settings.unread_limit);
  status_acceptor->pool().SetLimits(
      settings.max_held_bytes / kStatusHeldFraction,
      std::min(settings.max_connections, kMaxStatusConnections),
      settings.unread_limit);
}

// Read on the gateway's thread, which answers the status requests.
void GatewayPlugin::Private::RegisterHeldGauges() {
  for (const HeldKind kind : {HeldKind::kInput, HeldKind::kRequest,
                              HeldKind::kResponse, HeldKind::kUnsent}) {
    metrics->SetGauge(
        "flamingogauge_held_" + std::string(ToString(kind)) + "_bytes",
        [this, kind] {
          return static_cast<double>(callers->pool().budget().total(kind));
        });
  }
  metrics->SetGauge("flamingogauge_held_max_bytes", [this] {
    return static_cast<double>(callers->pool().budget().max_bytes());
  });
  metrics->SetGauge("flamingogauge_caller_connections", [this] {
    return static_cast<double>(callers->pool().size());
  });
}

void GatewayPlugin::Private::OnFleet(const FleetSnapshot& snapshot) {
  if (rollouts) {
    rollouts->OnFleet(snapshot);
  }
  if (hosts != snapshot.hosts) {
    hosts = snapshot.hosts;
    coordination->SetHosts(*hosts);
  }
  if (snapshot.routing) {
    CheckBodyLimit(*snapshot.routing);
  }
  if (upstreams != snapshot.upstreams) {
    upstreams = snapshot.upstreams;
    coordination->SetUpstreams(*upstreams);
  }
  if (routing != snapshot.routing && snapshot.routing) {
    routing = snapshot.routing;
    coordination->SetWorkspaceWeights(WeightsByRateLimit(*routing));
  }
  relay->OnFleet(snapshot);
  relay->SetHostCount(coordination->HostCount());
}

void GatewayPlugin::Private::CheckBodyLimit(const RoutingTable& document) {
  const std::size_t max_body_bytes = document.limits.max_body_bytes;
  if (max_body_bytes <= settings.max_held_bytes / kHeldForBodySize ||
      logged_body_limit_of == document.version) {
    return;
  }
  logged_body_limit_of = document.version;
  log->Write(
      EventLine("gateway.memory_below_bodies")
          .Number("version", static_cast<std::int64_t>(document.version))
          .Number("max_body_bytes", static_cast<std::int64_t>(max_body_bytes))
          .Number("max_held_bytes",
                  static_cast<std::int64_t>(settings.max_held_bytes)));
}

void GatewayPlugin::Private::Tick() {
  tick_timer.expires_after(relay->has_early_requests() ? kTickInterval
                                                       : kIdleTickInterval);
  tick_timer.async_wait([this](const boost::system::error_code& ec) {
    if (!ec) {
      relay->Tick();
      callers->pool().CheckUnread(BootTimeNow());
      status_acceptor->pool().CheckUnread(BootTimeNow());
      Tick();
    }
  });
}

UnfinishedWork GatewayPlugin::Private::CountUnfinished() const {
  const SessionCounts sessions = callers->Count();
  return {.requests_in_progress = relay->unfinished_count(),
          .requests_arriving = sessions.receiving,
          .responses_unsent = sessions.flushing};
}

void GatewayPlugin::Private::LogDrain(std::string_view event,
                                      const UnfinishedWork& work) const {
  const Duration elapsed = relay->drain().Elapsed(BootTimeNow());
  const auto count = [](std::size_t n) { return static_cast<std::int64_t>(n); };
  log->Write(EventLine(event)
                 .Number("requests", count(work.requests_in_progress))
                 .Number("arriving", count(work.requests_arriving))
                 .Number("unsent", count(work.responses_unsent))
                 .Milliseconds("elapsed_ms", elapsed)
                 .Milliseconds("left_ms", settings.stop_limit - elapsed));
}

std::string GatewayPlugin::Private::DumpState() const {
  std::string dump = relay->DumpState();
  if (rollouts) {
    dump.pop_back();
    dump += ",\"rollouts\":" + rollouts->DumpState() + "}";
  }
  return dump;
}

void GatewayPlugin::Private::CheckDrain() {
  DrainProgress& drain = relay->drain();
  if (drain.IsClosing()) {
    callers->CloseIdle();
  }
  const UnfinishedWork work = CountUnfinished();
  switch (drain.Check(work, BootTimeNow())) {
    case DrainAction::kWait:
      break;
    case DrainAction::kAbort:
      LogDrain("gateway.drain_aborted", work);
      callers->Stop();
      relay->AbortAllRequests();
      callers->AbortUnsent();
      callers->CloseIdle();
      break;
    case DrainAction::kCloseIdle:
      callers->Stop();
      callers->CloseIdle();
      break;
    case DrainAction::kFinish:
      callers->AbortUnsent();
      LogDrain("gateway.drained", work);
      drained();
      return;
  }
  drain_timer.expires_after(kDrainCheckInterval);
  drain_timer.async_wait([this](const boost::system::error_code& ec) {
    if (!ec) {
      CheckDrain();
    }
  });
}

Result<std::string> GatewayPlugin::Private::Explain(
    const std::string& question) const {
  const Result<ExplainQuestion> read = ParseExplainQuestion(question);
  if (!read) {
    return read.error();
  }
  const Result<Explanation> explanation =
      relay->Explain(read.value(), coordination->View());
  if (!explanation) {
    return explanation.error();
  }
  return FormatExplanation(explanation.value());
}

GatewayPlugin::GatewayPlugin(GatewaySettings settings)
    : private_(std::make_shared<Private>(std::move(settings))) {}

GatewayPlugin::~GatewayPlugin() {
  private_->io.stop();
  if (private_->thread.joinable()) {
    private_->thread.join();
  }
}

Result<void> GatewayPlugin::Initialize(ServiceRegistry& registry) {
  Result<void> checked = CheckGatewaySettings(private_->settings);
  if (!checked) {
    return checked;
  }
  Result<EventLog*> log = registry.Find<EventLog>(kEventLogService);
  if (!log) {
    return log.error();
  }
  private_->log = log.value();
  return boost::outcome_v2::success();
}

Result<void> GatewayPlugin::ExtensionsInitialized(ServiceRegistry& registry) {
  Result<FleetSource*> source =
      registry.Find<FleetSource>(FleetSource::kServiceName);
  if (!source) {
    return source.error();
  }
  Result<MetricsRegistry*> metrics =
      registry.Find<MetricsRegistry>(MetricsRegistry::kServiceName);
  if (!metrics) {
    return metrics.error();
  }
  Private& self = *private_;
  self.source = source.value();
  self.metrics = metrics.value();
  if (Result<void> made = self.MakeRollouts(registry); !made) {
    return made;
  }
  self.relay = std::make_unique<Relay>(
      self.io, self.settings, *self.log, *self.metrics,
      [&self] { self.coordination->OnPlacerChanged(); }, self.Gate());
  self.status = std::make_unique<StatusHandler>(StatusHandlerOptions{
      .ready_path = self.settings.ready_path,
      .is_ready = [&self] { return self.relay->IsReady(); },
      .metrics = [&self] { return self.metrics->Expose(); },
      .state = [&self] { return self.DumpState(); },
      .explain =
          [&self](const std::string& question) {
            return self.Explain(question);
          }});
  self.MakeAcceptors();
  self.coordination = self.MakeCoordination();
  self.ConnectRollouts();
  for (Result<void> opened :
       {self.callers->Listen(self.settings.listen_address),
        self.status_acceptor->Listen(self.settings.status_address),
        self.coordination->Start()}) {
    if (!opened) {
      return opened.error();
    }
  }
  self.Tick();
  self.thread = std::thread([&self] { self.io.run(); });
  std::weak_ptr<Private> weak = private_;
  return self.source->Subscribe([weak](const FleetSnapshot& snapshot) {
    if (const auto shared = weak.lock()) {
      boost::asio::post(shared->io, [shared = shared.get(), snapshot] {
        shared->OnFleet(snapshot);
      });
    }
  });
}

Result<void> GatewayPlugin::Reload() {
  const GatewaySettings settings = GatewaySettingsFromFlags();
  Result<void> checked = CheckGatewaySettings(settings);
  if (!checked) {
    return checked;
  }
  boost::asio::post(private_->io, [self = private_.get(), settings] {
    self->settings.Reload(settings);
    self->coordination->SetInterval(settings.report_interval);
    self->coordination->SetRegions(settings.regions);
    if (self->rollouts) {
      self->rollouts->SetRegions(settings.regions);
    }
    self->relay->Reload(settings);
    self->ApplySessionLimits();
  });
  return boost::outcome_v2::success();
}

void GatewayPlugin::AboutToShutdown(std::function<void()> done) {
  boost::asio::post(private_->io, [this, done = std::move(done)] {
    private_->drained = done;
    private_->relay->BeginDrain();
    private_->LogDrain("gateway.draining", private_->CountUnfinished());
    private_->CheckDrain();
  });
}

std::string GatewayPlugin::DumpState() const {
  auto dump = std::make_shared<std::promise<std::string>>();
  std::future<std::string> ready = dump->get_future();
  boost::asio::post(private_->io, [self = private_.get(), dump] {
    dump->set_value(self->DumpState());
  });
  return ready.wait_for(kDumpTimeLimit) == std::future_status::ready
             ? ready.get()
             : "{\"error\":\"the gateway's thread did not respond in time\"}";
}

}  // namespace flamingogauge
