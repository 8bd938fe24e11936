#include "plugins/gateway/coordination_node.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <string_view>
#include <utility>
#include <variant>

#include "libs/fleet/host_order.h"
#include "libs/kernel/boot_clock.h"
#include "libs/kernel/log.h"
#include "libs/model/fingerprint.h"
#include "plugins/gateway/fleet_events.h"

namespace flamingogauge {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// Changes within this time go into one message.
constexpr milliseconds kUrgentDelay{1};
// The interval of the placer's checks while a coordinator has to answer, and of
// the coordinator's runs while requests wait.
constexpr milliseconds kCheckInterval{10};
constexpr milliseconds kRunInterval{20};
// Bounds the messages that a coordinator sends: each interval grows with what
// one round of messages costs.
constexpr milliseconds kMinSummaryInterval{50};
constexpr milliseconds kSummaryIntervalPerHost{4};
constexpr milliseconds kMinReportInterval{25};
constexpr microseconds kReportIntervalPerUpstream{500};
// A coordinator that is not in use sends each n-th summary, to show that it is
// there.
constexpr std::uint64_t kStandbySummaryRounds = 4;
// The second coordinator of another data centre gets each n-th report.
constexpr std::uint64_t kStandbyReportRounds = 4;
// A gap between events this long means that the process was paused. While it
// runs, periodic messages are sent several times a second.
constexpr milliseconds kPauseTime{600};
// A host that has been silent for this long is considered permanently gone.
constexpr std::chrono::seconds kHostGoneTimeout{20};

// Refusals within this time go into one line for each service.
constexpr std::chrono::seconds kRefusalLogInterval{1};

const Logger& Log() {
  static const Logger kLogger("coordination");
  return kLogger;
}

DispatcherOptions QueueOptions(const GatewaySettings& settings,
                               VersionGate* version_gate) {
  return {.data_centre = settings.data_centre,
          .regions = settings.regions,
          .seed = ComputeContentHash(settings.host).low,
          .pace = {.start_requests = settings.upstream_start_requests},
          .version_gate = version_gate};
}

}  // namespace

CoordinationNode::CoordinationNode(boost::asio::io_context& io,
                                   const GatewaySettings& settings,
                                   std::uint64_t process,
                                   Placer& placer,
                                   EventLog& log,
                                   MetricsRegistry& metrics,
                                   CoordinationHandlers handlers,
                                   VersionGate* version_gate)
    : io_(io),
      host_(settings.host),
      address_(settings.report_address),
      data_centre_(settings.data_centre),
      interval_(settings.report_interval),
      process_(process),
      placer_(placer),
      log_(log),
      metrics_(metrics),
      handlers_(std::move(handlers)),
      coordinator_({.host = settings.host,
                    .process = process,
                    .dispatcher = QueueOptions(settings, version_gate)}),
      socket_(io,
              [this](const std::string& bytes, const std::string& sender) {
                OnDatagram(bytes, sender);
              }),
      state_timer_(io),
      urgent_timer_(io),
      check_timer_(io),
      run_timer_(io),
      summary_timer_(io),
      report_timer_(io),
      active_at_(BootTimeNow()) {
  RegisterGauges();
}

void CoordinationNode::RegisterGauges() {
  metrics_.SetGauge("flamingogauge_coordinated_requests", [this] {
    return static_cast<double>(coordinator_.waiting_count());
  });
  metrics_.SetGauge("flamingogauge_reachable_hosts", [this] {
    return static_cast<double>(coordinator_.ReachableHosts(BootTimeNow()));
  });
}

Result<void> CoordinationNode::Start() {
  Result<void> opened = socket_.Open(address_);
  if (opened) {
    ScheduleStates();
  }
  return opened;
}

void CoordinationNode::SetRegions(
    const std::map<std::string, std::string>& regions) {
  coordinator_.SetRegions(regions);
}

void CoordinationNode::SetUpstreams(
    const std::vector<UpstreamEntry>& upstreams) {
  upstream_count_ = upstreams.size();
  coordinator_.SetUpstreams(upstreams, BootTimeNow());
  ScheduleRun();
}

void CoordinationNode::SetWorkspaceWeights(WorkspaceWeights weights) {
  coordinator_.SetWorkspaceWeights(std::move(weights));
}

void CoordinationNode::SetHosts(const std::vector<HostEntry>& hosts) {
  const MonotonicTime now = BootTimeNow();
  addresses_.clear();
  nearby_hosts_.clear();
  remote_coordinators_.clear();
  for (const HostEntry& it : OrderHosts(hosts)) {
    addresses_[it.name] = it.report_address;
    if (it.data_centre == data_centre_) {
      nearby_hosts_.insert(it.name);
      // The first message of a host may arrive some time after it is listed.
      heard_at_.try_emplace(it.name, now);
      continue;
    }
    auto& coordinators = remote_coordinators_[it.data_centre];
    if (coordinators.size() < Placer::kInformedCandidates) {
      coordinators.push_back(it.name);
    }
  }
  // This host knows its own address, also before it is listed.
  addresses_[host_] = address_;
  const auto is_unlisted = [this](const std::string& name) {
    return !nearby_hosts_.contains(name);
  };
  std::erase_if(silent_hosts_, is_unlisted);
  std::erase_if(heard_at_, [&is_unlisted](const auto& it) {
    return is_unlisted(it.first);
  });
  placer_.SetHosts(hosts, now);
  coordinator_.SetHosts(hosts, now);
  LogCoordinator(now);
}

std::size_t CoordinationNode::HostCount() const {
  std::size_t count = 1;
  for (const auto& [name, address] : addresses_) {
    if (name != host_ && !draining_hosts_.contains(name)) {
      ++count;
    }
  }
  return count;
}

bool CoordinationNode::IsCoordinator() const {
  return placer_.Coordinator() == host_;
}

PlacementView CoordinationNode::View() const {
  std::string coordinator = placer_.Coordinator();
  const bool is_here = coordinator == host_;
  return {
      .coordinator = std::move(coordinator),
      .dispatcher = is_here ? &coordinator_.queue() : &placer_.dispatcher()};
}

void CoordinationNode::ScheduleStates() {
  state_timer_.expires_after(interval_);
  state_timer_.async_wait([this](const boost::system::error_code& ec) {
    if (ec) {
      return;
    }
    CheckPause();
    const MonotonicTime now = BootTimeNow();
    placer_.Tick(now);
    for (const std::string& it : placer_.InformedHosts()) {
      SendState(it);
    }
    LogCoordinator(now);
    ScheduleStates();
  });
}

void CoordinationNode::OnPlacerChanged() {
  if (urgent_scheduled_) {
    return;
  }
  urgent_scheduled_ = true;
  urgent_timer_.expires_after(kUrgentDelay);
  urgent_timer_.async_wait([this](const boost::system::error_code& ec) {
    urgent_scheduled_ = false;
    if (ec) {
      return;
    }
    for (const std::string& it : placer_.TakeUrgentReceivers()) {
      SendState(it);
    }
    ScheduleCheck();
  });
}

void CoordinationNode::ScheduleCheck() {
  if (check_scheduled_ || placer_.unacknowledged_count() == 0) {
    return;
  }
  check_scheduled_ = true;
  check_timer_.expires_after(kCheckInterval);
  check_timer_.async_wait([this](const boost::system::error_code& ec) {
    check_scheduled_ = false;
    if (ec) {
      return;
    }
    CheckPause();
    placer_.Tick(BootTimeNow());
    handlers_.on_placed();
    OnPlacerChanged();
  });
}

void CoordinationNode::SendState(const std::string& coordinator) {
  const MonotonicTime now = BootTimeNow();
  const auto address = addresses_.find(coordinator);
  if (address == addresses_.end()) {
    return;
  }
  HostMessage message = placer_.StateFor(coordinator, now);
  message.host = host_;
  message.data_centre = data_centre_;
  message.address = address_;
  message.process = process_;
  message.sequence = ++sequence_;
  handlers_.complete_state(message);
  handlers_.rollouts.complete_state(coordinator, message);
  if (coordinator == host_) {
    ApplyState(message);
  } else {
    Send(message, address->second);
  }
}

void CoordinationNode::ApplyState(const HostMessage& message) {
  const MonotonicTime now = BootTimeNow();
  if (!coordinator_.OnHostMessage(message, now)) {
    return;
  }
  heard_at_[message.host] = now;
  if (silent_hosts_.erase(message.host) > 0) {
    log_.Write(EventLine("host.regained").Text("host", message.host));
  }
  handlers_.on_crash_evidence(message.evidence);
  handlers_.rollouts.on_host(message);
  ScheduleRun();
  ScheduleSummaries();
  ScheduleReports();
}

void CoordinationNode::ScheduleRun() {
  if (run_scheduled_) {
    return;
  }
  run_scheduled_ = true;
  boost::asio::post(io_, [this] {
    run_scheduled_ = false;
    RunCoordinator();
  });
}

void CoordinationNode::RunCoordinator() {
  for (const auto& it : coordinator_.Run(BootTimeNow())) {
    if (it.address == address_) {
      ApplyReply(it.message);
    } else {
      Send(it.message, it.address);
    }
  }
  LogRefusals(BootTimeNow());
  if (coordinator_.waiting_count() == 0) {
    return;
  }
  run_timer_.expires_after(kRunInterval);
  run_timer_.async_wait([this](const boost::system::error_code& ec) {
    if (!ec) {
      ScheduleRun();
    }
  });
}

void CoordinationNode::LogPaces() {
  const MonotonicTime now = BootTimeNow();
  const bool is_in_use = placer_.Coordinator() == host_;
  for (const PaceChange& it : coordinator_.TakePaceChanges()) {
    if (!is_in_use) {
      continue;
    }
    metrics_.Add("flamingogauge_upstream_pace_changes_total",
                 Label("cause", ToString(it.cause)));
    if (pace_log_.Admits(it, now)) {
      log_.Write(PaceChangeEvent(it));
    }
  }
}

void CoordinationNode::LogRefusals(MonotonicTime now) {
  if (now - refusals_logged_at_ < kRefusalLogInterval) {
    return;
  }
  refusals_logged_at_ = now;
  for (const RefusalSummary& it : coordinator_.TakeRefusals(now)) {
    metrics_.Add("flamingogauge_coordinated_refusals_total",
                 Label("service", it.service), it.refused);
    log_.Write(RefusalEvent(it));
  }
}

void CoordinationNode::ApplyReply(const CoordinatorMessage& message) {
  if (!placer_.OnCoordinatorMessage(message, BootTimeNow())) {
    CountOutdated();
    return;
  }
  handlers_.on_placed();
  OnPlacerChanged();
}

void CoordinationNode::CountOutdated() {
  metrics_.Add("flamingogauge_outdated_replies_total", "");
}

void CoordinationNode::ScheduleSummaries() {
  if (summaries_scheduled_) {
    return;
  }
  summaries_scheduled_ = true;
  const auto hosts = static_cast<milliseconds::rep>(nearby_hosts_.size());
  summary_timer_.expires_after(
      std::max(kMinSummaryInterval, kSummaryIntervalPerHost * hosts));
  summary_timer_.async_wait([this](const boost::system::error_code& ec) {
    summaries_scheduled_ = false;
    if (!ec) {
      SendSummaries();
    }
  });
}

void CoordinationNode::SendSummaries() {
  const MonotonicTime now = BootTimeNow();
  for (const std::string& it : coordinator_.ExpireHosts(now)) {
    silent_hosts_.insert(it);
    log_.Write(EventLine("host.lost").Text("host", it));
  }
  CheckForGoneHosts(now);
  if (coordinator_.HasHosts(now)) {
    ScheduleSummaries();
  }
  LogPaces();
  ++summary_rounds_;
  const bool to_all = placer_.Coordinator() == host_ ||
                      summary_rounds_ % kStandbySummaryRounds == 0;
  const CrashEvidence evidence = handlers_.crash_evidence();
  const bool draining = handlers_.is_draining();
  const RolloutReport rollouts =
      to_all ? handlers_.rollouts.summary() : RolloutReport{};
  for (auto& it : coordinator_.SummariesForHosts(to_all, now)) {
    it.message.evidence = evidence;
    it.message.draining = draining;
    it.message.rollouts = rollouts;
    if (it.address == address_) {
      ApplySummary(it.message);
    } else {
      Send(it.message, it.address);
    }
  }
}

void CoordinationNode::ApplySummary(const FleetSummary& summary) {
  const MonotonicTime now = BootTimeNow();
  if (!placer_.OnSummary(summary, now)) {
    CountOutdated();
    return;
  }
  handlers_.on_crash_evidence(summary.evidence);
  handlers_.rollouts.on_summary(summary);
  if (summary.coordinator == placer_.Coordinator()) {
    draining_hosts_ = {summary.draining_hosts.begin(),
                       summary.draining_hosts.end()};
    handlers_.on_summary(summary);
  }
  OnPlacerChanged();
}

void CoordinationNode::ScheduleReports() {
  if (reports_scheduled_ || placer_.Coordinator() != host_) {
    return;
  }
  reports_scheduled_ = true;
  const auto growing = kReportIntervalPerUpstream *
                       static_cast<microseconds::rep>(upstream_count_);
  report_timer_.expires_after(
      std::max<microseconds>(kMinReportInterval, growing));
  report_timer_.async_wait([this](const boost::system::error_code& ec) {
    reports_scheduled_ = false;
    if (!ec) {
      SendReport();
      ScheduleReports();
    }
  });
}

void CoordinationNode::SendReport() {
  ++report_rounds_;
  DataCentreReport report{.summary =
                              coordinator_.DataCentreReport(BootTimeNow())};
  report.summary.draining = handlers_.is_draining();
  report.summary.evidence = handlers_.crash_evidence();
  for (const auto& [data_centre, coordinators] : remote_coordinators_) {
    for (std::size_t n = 0; n < coordinators.size(); ++n) {
      if (n == 0 || report_rounds_ % kStandbyReportRounds == 0) {
        report.summary.rollouts =
            handlers_.rollouts.data_centre_report(coordinators[n]);
        Send(report, addresses_[coordinators[n]]);
      }
    }
  }
}

void CoordinationNode::Send(const CoordinationMessage& message,
                            const std::string& address) {
  socket_.Send(EncodeCoordinationMessage(message), address);
}

void CoordinationNode::OnDatagram(const std::string& bytes,
                                  const std::string& sender) {
  CheckPause();
  const Result<CoordinationMessage> decoded = DecodeCoordinationMessage(bytes);
  if (!decoded) {
    Log().Warning(ToString(decoded.error()));
    return;
  }
  std::visit(
      [this, &sender](const auto& message) { OnMessage(message, sender); },
      decoded.value());
}

bool CoordinationNode::IsFrom(const std::string& host,
                              const std::string& sender) {
  const auto it = addresses_.find(host);
  if (it != addresses_.end() && it->second == sender && host != host_) {
    return true;
  }
  metrics_.Add("flamingogauge_foreign_datagrams_total", "");
  return false;
}

void CoordinationNode::OnMessage(const HostMessage& message,
                                 const std::string& sender) {
  if (!addresses_.contains(message.host)) {
    handlers_.on_host_unlisted(message.host);
  }
  if (IsFrom(message.host, sender) && message.address == sender &&
      nearby_hosts_.contains(message.host)) {
    ApplyState(message);
  }
}

void CoordinationNode::OnMessage(const CoordinatorMessage& message,
                                 const std::string& sender) {
  if (IsFrom(message.coordinator, sender)) {
    ApplyReply(message);
  }
}

void CoordinationNode::OnMessage(const FleetSummary& summary,
                                 const std::string& sender) {
  if (IsFrom(summary.coordinator, sender)) {
    ApplySummary(summary);
  }
}

void CoordinationNode::OnMessage(const DataCentreReport& report,
                                 const std::string& sender) {
  if (!IsFrom(report.summary.coordinator, sender)) {
    return;
  }
  coordinator_.OnDataCentreReport(report.summary, BootTimeNow());
  handlers_.on_crash_evidence(report.summary.evidence);
  handlers_.rollouts.on_data_centre(report.summary);
  if (coordinator_.waiting_count() > 0) {
    ScheduleRun();
  }
}

void CoordinationNode::CheckPause() {
  const MonotonicTime now = BootTimeNow();
  const Duration gap = now - std::exchange(active_at_, now);
  if (gap < kPauseTime) {
    return;
  }
  log_.Write(EventLine("host.paused").Milliseconds("paused_ms", gap));
  placer_.OnPaused();
  OnPlacerChanged();
}

void CoordinationNode::CheckForGoneHosts(MonotonicTime now) {
  if (placer_.Coordinator() != host_) {
    return;
  }
  for (const std::string& it : nearby_hosts_) {
    MonotonicTime& heard_at = heard_at_[it];
    if (it != host_ && now - heard_at > kHostGoneTimeout) {
      // Restarts the timeout, so that on_host_gone is called again for this
      // host only after another kHostGoneTimeout.
      heard_at = now;
      handlers_.on_host_gone(it);
    }
  }
}

void CoordinationNode::LogCoordinator(MonotonicTime now) {
  const std::string coordinator = placer_.Coordinator();
  if (coordinator == logged_coordinator_) {
    return;
  }
  logged_coordinator_ = coordinator;
  log_.Write(EventLine("coordinator.changed")
                 .Text("coordinator", coordinator)
                 .Number("reachable_hosts", coordinator_.ReachableHosts(now)));
}

}  // namespace flamingogauge
