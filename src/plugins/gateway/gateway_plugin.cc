#include "plugins/gateway/gateway_plugin.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <future>
#include <set>
#include <thread>
#include <utility>

#include "libs/dispatching/report_fanout.h"
#include "libs/kernel/boot_clock.h"
#include "libs/kernel/log.h"
#include "libs/services/event_log_service.h"
#include "libs/services/fleet_source.h"
#include "plugins/gateway/http_acceptor.h"
#include "plugins/gateway/relay.h"
#include "plugins/gateway/report_socket.h"
#include "plugins/gateway/status_handler.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTickInterval{50};
constexpr milliseconds kDrainCheckInterval{50};
// The time at the end of a drain in which idle connections are closed.
constexpr milliseconds kCloseIdleTime{300};
// A host that was not heard for this long counts as gone for good.
constexpr std::chrono::seconds kHostSilence{20};
// After a change of the load, hosts of the same data centre hear of it within
// this time, so that several hosts rarely choose the same free place.
constexpr milliseconds kLoadReportDelay{15};
// How long a state dump waits for the gateway's thread.
constexpr milliseconds kDumpTimeLimit{500};

// A report that could not be passed on for this long, on a host that was
// suspended for example, is replaced by a newer one elsewhere.
constexpr milliseconds kMaxPassOnDelay{500};
// A timer that fires a little early must not skip a round.
constexpr milliseconds kTimerSlack{20};

struct ReportToPassOn {
  HostReport report;
  MonotonicTime received_at;
};

const Logger& Log() {
  static const Logger kLogger("gateway");
  return kLogger;
}

}  // namespace

struct GatewayPlugin::Private {
  explicit Private(GatewaySettings gateway_settings)
      : settings(std::move(gateway_settings)) {}

  // Used on the gateway's thread once it runs.
  GatewaySettings settings;
  boost::asio::io_context io{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_guard = boost::asio::make_work_guard(io);
  boost::asio::steady_timer tick_timer{io};
  boost::asio::steady_timer report_timer{io};
  boost::asio::steady_timer load_report_timer{io};
  boost::asio::steady_timer drain_timer{io};
  EventLog* log = nullptr;
  FleetSource* source = nullptr;
  MetricsRegistry* metrics = nullptr;
  std::unique_ptr<Relay> relay;
  std::unique_ptr<StatusHandler> status;
  std::unique_ptr<HttpAcceptor> callers;
  std::unique_ptr<HttpAcceptor> status_acceptor;
  std::unique_ptr<ReportSocket> reports;
  std::shared_ptr<const std::vector<HostEntry>> hosts =
      std::make_shared<std::vector<HostEntry>>();
  ReportFanout fanout{{.host = settings.host,
                       .data_centre = settings.data_centre,
                       .far_interval = settings.report_interval}};
  std::uint64_t report_sequence = 0;
  MonotonicTime far_report_due_at;
  // The newest reports of hosts in other data centres, by host.
  std::map<std::string, ReportToPassOn> to_pass_on;
  std::map<std::string, MonotonicTime> heard_at;
  std::set<std::string> leaving_hosts;
  // Listed hosts whose newest report does not count any more.
  std::set<std::string> silent_hosts;
  bool load_report_scheduled = false;
  MonotonicTime drain_began_at;
  std::function<void()> drained;
  std::thread thread;

  void OnFleet(const FleetSnapshot& snapshot);
  void OnDatagram(const std::string& bytes);
  void Tick();
  // Returns false for a report that is no news.
  bool OnReport(const HostReport& report);
  void SendReports();
  void OnLoadChanged();
  // Reports to the hosts of the same data centre, with what has to be passed
  // on to them.
  void SendNearReport();
  void SendReport(std::vector<HostReport> passed_on,
                  const std::vector<std::string>& addresses);
  void CheckDrain();
  void CountHosts(MonotonicTime now);
  void NoteSilentHosts(MonotonicTime now);
};

void GatewayPlugin::Private::OnFleet(const FleetSnapshot& snapshot) {
  if (hosts != snapshot.hosts) {
    hosts = snapshot.hosts;
    std::erase_if(silent_hosts, [this](const std::string& name) {
      return std::none_of(
          hosts->begin(), hosts->end(),
          [&name](const HostEntry& it) { return it.name == name; });
    });
    fanout.SetHosts(*hosts);
    relay->SetReportLifetime(fanout.ReportLifetime());
  }
  relay->OnFleet(snapshot);
  CountHosts(BootTimeNow());
}

void GatewayPlugin::Private::CountHosts(MonotonicTime now) {
  std::size_t count = 1;
  for (const HostEntry& it : *hosts) {
    if (it.name == settings.host) {
      continue;
    }
    if (!leaving_hosts.contains(it.name)) {
      ++count;
    }
    const auto [heard, is_new] = heard_at.try_emplace(it.name, now);
    if (now - heard->second > kHostSilence) {
      heard->second = now;
      source->OnHostSilent(it.name);
    }
  }
  relay->SetHostCount(count);
}

void GatewayPlugin::Private::NoteSilentHosts(MonotonicTime now) {
  for (const HostEntry& it : *hosts) {
    const auto heard = heard_at.find(it.name);
    if (it.name != settings.host && heard != heard_at.end() &&
        now - heard->second > fanout.ReportLifetime() &&
        silent_hosts.insert(it.name).second) {
      log->Write(EventLine("host.lost")
                     .Text("host", it.name)
                     .Milliseconds("silent_ms", now - heard->second));
    }
  }
}

void GatewayPlugin::Private::OnDatagram(const std::string& bytes) {
  Result<HostReport> decoded = DecodeHostReport(bytes);
  if (!decoded) {
    Log().Warning(ToString(decoded.error()));
    return;
  }
  HostReport& report = decoded.value();
  const std::vector<HostReport> passed_on = std::move(report.passed_on);
  report.passed_on.clear();
  if (OnReport(report) && fanout.MustPassOn(report.host)) {
    const std::string host = report.host;
    to_pass_on[host] = {.report = std::move(report),
                        .received_at = BootTimeNow()};
  }
  for (const HostReport& it : passed_on) {
    OnReport(it);
  }
}

bool GatewayPlugin::Private::OnReport(const HostReport& report) {
  if (report.host == settings.host ||
      !fanout.IsNews(report.host, report.process, report.sequence)) {
    return false;
  }
  const MonotonicTime now = BootTimeNow();
  heard_at[report.host] = now;
  if (silent_hosts.erase(report.host) > 0) {
    log->Write(EventLine("host.regained").Text("host", report.host));
  }
  if (report.draining) {
    leaving_hosts.insert(report.host);
  } else {
    leaving_hosts.erase(report.host);
  }
  relay->OnReport(report);
  return true;
}

void GatewayPlugin::Private::Tick() {
  tick_timer.expires_after(kTickInterval);
  tick_timer.async_wait([this](const boost::system::error_code& ec) {
    if (!ec) {
      relay->Tick();
      Tick();
    }
  });
}

void GatewayPlugin::Private::SendReports() {
  report_timer.expires_after(settings.report_interval);
  report_timer.async_wait([this](const boost::system::error_code& ec) {
    if (ec) {
      return;
    }
    SendNearReport();
    const MonotonicTime now = BootTimeNow();
    NoteSilentHosts(now);
    if (now >= far_report_due_at) {
      far_report_due_at = now + fanout.FarInterval() - kTimerSlack;
      SendReport({}, fanout.NextFar());
    }
    SendReports();
  });
}

void GatewayPlugin::Private::SendNearReport() {
  const MonotonicTime now = BootTimeNow();
  std::vector<HostReport> passed_on;
  for (auto& [host, it] : std::exchange(to_pass_on, {})) {
    if (now - it.received_at <= kMaxPassOnDelay) {
      passed_on.push_back(std::move(it.report));
    }
  }
  SendReport(std::move(passed_on), fanout.Near());
}

void GatewayPlugin::Private::SendReport(
    std::vector<HostReport> passed_on,
    const std::vector<std::string>& addresses) {
  if (addresses.empty()) {
    return;
  }
  HostReport report = relay->OwnReport();
  report.sequence = ++report_sequence;
  report.passed_on = std::move(passed_on);
  const std::string bytes = EncodeHostReport(report);
  for (const std::string& it : addresses) {
    reports->Send(bytes, it);
  }
}

void GatewayPlugin::Private::OnLoadChanged() {
  if (load_report_scheduled) {
    return;
  }
  load_report_scheduled = true;
  load_report_timer.expires_after(kLoadReportDelay);
  load_report_timer.async_wait([this](const boost::system::error_code& ec) {
    load_report_scheduled = false;
    if (!ec) {
      SendNearReport();
    }
  });
}

void GatewayPlugin::Private::CheckDrain() {
  drain_timer.expires_after(kDrainCheckInterval);
  drain_timer.async_wait([this](const boost::system::error_code& ec) {
    if (ec) {
      return;
    }
    const MonotonicTime now = BootTimeNow();
    const Duration elapsed = now - drain_began_at;
    const bool idle = relay->exchange_count() == 0;
    if ((idle && elapsed >= settings.drain_min_time) ||
        elapsed >= settings.drain_time_limit) {
      callers->Stop();
      relay->BreakOffAll();
      callers->CloseIdle();
      drain_timer.expires_after(kCloseIdleTime);
      drain_timer.async_wait(
          [this](const boost::system::error_code& /*ec*/) { drained(); });
      return;
    }
    CheckDrain();
  });
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
  self.relay =
      std::make_unique<Relay>(self.io, self.settings, *self.log, *self.metrics,
                              [&self] { self.OnLoadChanged(); });
  self.status = std::make_unique<StatusHandler>(StatusHandlerOptions{
      .ready_path = self.settings.ready_path,
      .is_ready = [&self] { return self.relay->IsReady(); },
      .metrics = [&self] { return self.metrics->Expose(); },
      .state = [&self] { return self.relay->DumpState(); }});
  self.callers = std::make_unique<HttpAcceptor>(self.io, *self.relay);
  self.status_acceptor = std::make_unique<HttpAcceptor>(self.io, *self.status);
  self.reports = std::make_unique<ReportSocket>(
      self.io, [&self](const std::string& bytes) { self.OnDatagram(bytes); });
  for (Result<void> opened :
       {self.callers->Listen(self.settings.listen_address),
        self.status_acceptor->Listen(self.settings.status_address),
        self.reports->Open(self.settings.report_address)}) {
    if (!opened) {
      return opened.error();
    }
  }
  self.Tick();
  self.SendReports();
  self.thread = std::thread([&self] { self.io.run(); });
  std::weak_ptr<Private> weak = private_;
  self.source->Subscribe([weak](const FleetSnapshot& snapshot) {
    if (const auto shared = weak.lock()) {
      boost::asio::post(shared->io, [shared = shared.get(), snapshot] {
        shared->OnFleet(snapshot);
      });
    }
  });
  return boost::outcome_v2::success();
}

Result<void> GatewayPlugin::Reload() {
  const GatewaySettings settings = GatewaySettingsFromFlags();
  Result<void> checked = CheckGatewaySettings(settings);
  if (!checked) {
    return checked;
  }
  boost::asio::post(private_->io, [self = private_.get(), settings] {
    self->settings.Reload(settings);
    self->fanout.SetFarInterval(settings.report_interval);
    self->relay->Reload(settings);
  });
  return boost::outcome_v2::success();
}

void GatewayPlugin::AboutToShutdown(std::function<void()> done) {
  boost::asio::post(private_->io, [this, done = std::move(done)] {
    private_->drained = done;
    private_->drain_began_at = BootTimeNow();
    private_->relay->BeginDrain();
    private_->log->Write(
        EventLine("gateway.draining")
            .Number("requests", static_cast<std::int64_t>(
                                    private_->relay->exchange_count())));
    private_->CheckDrain();
  });
}

std::string GatewayPlugin::DumpState() const {
  auto dump = std::make_shared<std::promise<std::string>>();
  std::future<std::string> ready = dump->get_future();
  boost::asio::post(private_->io, [self = private_.get(), dump] {
    dump->set_value(self->relay->DumpState());
  });
  return ready.wait_for(kDumpTimeLimit) == std::future_status::ready
             ? ready.get()
             : "{\"error\":\"the gateway's thread did not answer\"}";
}

}  // namespace flamingogauge
