#include "app/serve_command.h"

#include <gflags/gflags.h>
#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <csignal>
#include <ctime>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "app/gateway_plugins.h"
#include "app/settings_reloader.h"
#include "app/shutdown_thread.h"
#include "libs/kernel/log.h"
#include "libs/kernel/plugin_manager.h"
#include "libs/kernel/process_life.h"
#include "libs/services/event_log_service.h"
#include "libs/services/membership_view.h"
#include "libs/services/request_intake.h"
#include "plugins/callers/callers_plugin.h"
#include "plugins/claims/claims_plugin.h"
#include "plugins/configuration/built_in_document.h"
#include "plugins/configuration/configuration_plugin.h"
#include "plugins/crashes/crashes_plugin.h"
#include "plugins/operators/operators_plugin.h"
#include "plugins/orders/orders_plugin.h"
#include "plugins/peers/peers_plugin.h"
#include "plugins/platform/platform_plugin.h"
#include "plugins/requests/requests_plugin.h"
#include "plugins/scheduler/scheduler_plugin.h"
#include "plugins/upstreams/upstreams_plugin.h"

DEFINE_bool(
    embedded,
    false,
    "run stand-alone: in-memory store, built-in document, echo upstream "
    "in this process");
DEFINE_uint32(drain_time_limit_ms,
              600000,
              "how long a planned stop waits for requests in flight, in ms");

namespace flamingogauge {
namespace {

constexpr int kExitFailure = 1;
constexpr int kExitInvalidSetting = 2;
// Added to the signal number, as shells do.
constexpr int kExitSignalBase = 128;
constexpr char kEmbeddedToken[] = "embedded-operators";
// Placeholder address: the echo upstream client opens no connections.
constexpr char kPlaceholderAddress[] = "127.0.0.1:1";
// Interval at which a draining process checks whether it is done.
constexpr timespec kDrainPollInterval{.tv_sec = 0, .tv_nsec = 20000000};
// Interval at which the settings file is checked for changes, because it may
// change without a SIGHUP.
constexpr timespec kSettingsPollInterval{.tv_sec = 2, .tv_nsec = 0};

const Logger& Log() {
  static const Logger kLogger("main");
  return kLogger;
}

sigset_t HandledSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

// Raises the soft limit of file descriptors to the hard limit: a connection
// uses two descriptors, and the usual soft limit is 1024.
void RaiseDescriptorLimit() {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = limit.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &limit);
  }
}

// Keeps the threshold above which the allocator returns a freed block to the
// system at its initial value. By default it grows with the largest block that
// was freed, up to 32 MB; what has been held for callers for a moment would
// then stay resident, in pieces.
void ReturnFreedMemory() {
  constexpr int kThresholdBytes = 131072;
  ::mallopt(M_MMAP_THRESHOLD, kThresholdBytes);
}

// Adds the plugins in dependency order: each one after those whose services it
// uses.
void AddPlugins(PluginManager& manager) {
  if (IsGatewayConfigured()) {
    AddGatewayPlugins(manager);
    return;
  }
  PlatformSettings platform = PlatformSettingsFromFlags();
  ConfigurationSettings configuration = ConfigurationSettingsFromFlags();
  const PeersSettings peers = PeersSettingsFromFlags();
  UpstreamsSettings upstreams = UpstreamsSettingsFromFlags();
  OperatorsSettings operators = OperatorsSettingsFromFlags();
  SchedulerSettings scheduler = SchedulerSettingsFromFlags();
  OrdersSettings orders = OrdersSettingsFromFlags();
  scheduler.host = peers.host;
  upstreams.data_centre = peers.data_centre;
  if (FLAGS_embedded) {
    platform.address.clear();
    upstreams.echo = true;
    orders.enabled = false;
    if (configuration.initial_document.empty()) {
      configuration.initial_document_text =
          BuiltInDocument(kPlaceholderAddress, peers.data_centre);
    }
    if (operators.token.empty()) {
      operators.token = kEmbeddedToken;
    }
  }
  manager.Add(std::make_unique<PlatformPlugin>(platform));
  manager.Add(std::make_unique<ConfigurationPlugin>(configuration));
  manager.Add(std::make_unique<PeersPlugin>(peers));
  manager.Add(std::make_unique<CrashesPlugin>(CrashesSettingsFromFlags()));
  manager.Add(std::make_unique<UpstreamsPlugin>(upstreams));
  manager.Add(std::make_unique<ClaimsPlugin>(ClaimsSettingsFromFlags()));
  manager.Add(std::make_unique<SchedulerPlugin>(scheduler));
  manager.Add(std::make_unique<RequestsPlugin>(RequestsSettingsFromFlags()));
  manager.Add(std::make_unique<CallersPlugin>(CallersSettingsFromFlags()));
  manager.Add(std::make_unique<OrdersPlugin>(orders));
  manager.Add(std::make_unique<OperatorsPlugin>(operators));
}

// Writes to the structured log if the host has an EventLog service.
void WriteEvent(PluginManager& manager, EventLine line) {
  if (auto log = manager.registry().Find<EventLog>(kEventLogService)) {
    log.value()->Write(std::move(line));
  }
}

std::string Join(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& it : names) {
    text += (text.empty() ? "" : ",") + it;
  }
  return text;
}

// Reads the settings again and applies them. If one is invalid, the current
// settings stay in effect.
void ReloadSettings(SettingsReloader& reloader,
                    PluginManager& manager,
                    const std::string& trigger) {
  EventLine line("process.reload");
  line.Text("trigger", trigger);
  const Result<ReloadedSettings> settings = reloader.Reload();
  Result<void> applied = boost::outcome_v2::success();
  if (!settings) {
    applied = settings.error();
  } else if (!settings.value().changed.empty()) {
    applied = manager.Reload();
  }
  line.Text("result", applied ? "done" : ToString(applied.error()));
  if (settings) {
    line.Text("changed", Join(settings.value().changed))
        .Text("need_restart", Join(settings.value().need_restart));
  }
  Log().Info("settings reload: " +
             (applied ? "done" : ToString(applied.error())));
  WriteEvent(manager, std::move(line));
}

std::optional<ProcessRequest> RequestOf(int signal_number) {
  switch (signal_number) {
    case SIGHUP:
      return ProcessRequest::kReload;
    case SIGTERM:
      return ProcessRequest::kStop;
    case SIGINT:
      return ProcessRequest::kInterrupt;
    default:
      return std::nullopt;
  }
}

void BeginDrain(PluginManager& manager,
                int signal_number,
                ShutdownThread& shutdown) {
  Log().Info("signal " + std::to_string(signal_number) + ": draining");
  WriteEvent(manager,
             EventLine("process.stopping").Number("signal", signal_number));
  // Reports the host as not ready before the first plugin drains.
  if (auto intake =
          manager.registry().Find<RequestIntake>(RequestIntake::kServiceName)) {
    intake.value()->BeginDrain();
  }
  // Announced before the drain, so that other hosts immediately take over the
  // groups that this host schedules.
  if (auto members = manager.registry().Find<MembershipView>(
          MembershipView::kServiceName)) {
    members.value()->AnnounceLeaving();
  }
  shutdown.Start(std::chrono::milliseconds(FLAGS_drain_time_limit_ms));
}

void LogIgnored(PluginManager& manager,
                ProcessRequest request,
                Duration draining_for) {
  const auto elapsed =
      std::chrono::duration_cast<std::chrono::milliseconds>(draining_for);
  Log().Info(std::string(ToString(request)) +
             " request ignored: the process has been draining for " +
             std::to_string(elapsed.count()) + " ms");
  WriteEvent(manager, EventLine("process.request_ignored")
                          .Text("request", ToString(request))
                          .Text("reason", "the process drains")
                          .Milliseconds("draining_ms", draining_for));
}

// Handles signals and changes of the settings file until the process has
// drained. Returns false if the drain's time limit passed first.
bool RunUntilDrained(const sigset_t& signals,
                     SettingsReloader& reloader,
                     PluginManager& manager) {
  ProcessLife life;
  ShutdownThread shutdown(manager);
  while (life.stage() != ProcessStage::kEnded) {
    const bool is_serving = life.stage() == ProcessStage::kServing;
    const int number =
        sigtimedwait(&signals, nullptr,
                     is_serving ? &kSettingsPollInterval : &kDrainPollInterval);
    if (shutdown.is_done()) {
      life.OnDrained();
      continue;
    }
    std::optional<ProcessRequest> request = RequestOf(number);
    if (!request && is_serving && reloader.FileHasChanged()) {
      request = ProcessRequest::kReload;
    }
    if (!request) {
      continue;
    }
    const MonotonicTime now = std::chrono::steady_clock::now();
    switch (life.OnRequest(*request, now)) {
      case ProcessAction::kReload:
        ReloadSettings(reloader, manager,
                       number == SIGHUP ? "SIGHUP" : "the file changed");
        break;
      case ProcessAction::kDrain:
        BeginDrain(manager, number, shutdown);
        break;
      case ProcessAction::kIgnore:
        LogIgnored(manager, *request, life.DrainingFor(now));
        break;
      case ProcessAction::kExitAtOnce:
        Log().Warning(
            "interrupted while draining: exiting at once; requests in flight "
            "are cut off");
        _exit(kExitSignalBase + number);
    }
  }
  return shutdown.is_complete();
}

}  // namespace

void BlockServeSignals() {
  const sigset_t signals = HandledSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

int RunServeCommand(const std::vector<std::string>& arguments) {
  RaiseDescriptorLimit();
  ReturnFreedMemory();
  SettingsReloader reloader(arguments);
  PluginManager manager;
  AddPlugins(manager);
  const Result<void> started = manager.Start();
  if (!started) {
    Log().Error(ToString(started.error()));
    // Exits without destructors: plugins that have started may still call
    // others that would be destroyed before them. There is nothing to drain
    // yet.
    _exit(started.error().code == ErrorCode::kInvalidArgument
              ? kExitInvalidSetting
              : kExitFailure);
  }
  Log().Info("started");
  const bool complete = RunUntilDrained(HandledSignals(), reloader, manager);
  Log().Info(complete ? "drained"
                      : "drain did not complete within the time limit");
  return complete ? 0 : kExitFailure;
}

}  // namespace flamingogauge
