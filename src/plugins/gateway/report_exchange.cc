#include "plugins/gateway/report_exchange.h"

#include <algorithm>
#include <utility>

#include "libs/kernel/boot_clock.h"
#include "libs/kernel/log.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

// A host that has sent no report for this long is considered permanently gone.
constexpr std::chrono::seconds kHostGoneTimeout{20};
// For this time after its start, a host announces itself by including its
// address in its reports: the others read the list of hosts only every few
// seconds, and the read may return a stale list.
constexpr std::chrono::seconds kAnnouncementPeriod{10};
// A report that could not be forwarded for this long, for example because this
// host was suspended, is dropped: the other hosts have a newer one by then.
constexpr milliseconds kMaxForwardDelay{500};
// Prevents a timer that fires slightly early from skipping a round.
constexpr milliseconds kEarlyTimerTolerance{20};

bool Contains(const std::vector<HostEntry>& hosts, const std::string& name) {
  return std::any_of(hosts.begin(), hosts.end(),
                     [&name](const HostEntry& it) { return it.name == name; });
}

const Logger& Log() {
  static const Logger kLogger("reports");
  return kLogger;
}

}  // namespace

ReportExchange::ReportExchange(boost::asio::io_context& io,
                               const GatewaySettings& settings,
                               EventLog& log,
                               ReportExchangeHandlers handlers)
    : host_(settings.host),
      address_(settings.report_address),
      data_centre_(settings.data_centre),
      interval_(settings.report_interval),
      log_(log),
      handlers_(std::move(handlers)),
      socket_(io, [this](const std::string& bytes) { OnDatagram(bytes); }),
      report_timer_(io),
      load_report_timer_(io),
      fanout_({.host = settings.host,
               .data_centre = settings.data_centre,
               .remote_interval = settings.report_interval}),
      listed_hosts_(std::make_shared<std::vector<HostEntry>>()),
      started_at_(BootTimeNow()) {}

Result<void> ReportExchange::Start() {
  Result<void> opened = socket_.Open(address_);
  if (opened) {
    ScheduleReports();
  }
  return opened;
}

void ReportExchange::SetInterval(milliseconds interval) {
  interval_ = interval;
  fanout_.SetRemoteInterval(interval);
}

void ReportExchange::SetHosts(
    std::shared_ptr<const std::vector<HostEntry>> hosts) {
  listed_hosts_ = std::move(hosts);
  UpdateKnownHosts();
}

void ReportExchange::UpdateKnownHosts() {
  const MonotonicTime now = BootTimeNow();
  hosts_ = *listed_hosts_;
  std::set<std::string> known;
  for (const HostEntry& it : hosts_) {
    known.insert(it.name);
    announced_hosts_.erase(it.name);
    // The first report of a host may arrive some time after it is listed.
    last_report_at_.try_emplace(it.name, now);
  }
  for (const auto& [name, entry] : announced_hosts_) {
    hosts_.push_back(entry);
    known.insert(name);
  }
  fanout_.SetHosts(hosts_);
  const auto is_unknown = [&known](const std::string& name) {
    return !known.contains(name);
  };
  std::erase_if(silent_hosts_, is_unknown);
  std::erase_if(draining_hosts_, is_unknown);
  std::erase_if(last_report_at_,
                [&is_unknown](const auto& it) { return is_unknown(it.first); });
}

void ReportExchange::ApplyAnnouncement(const HostReport& report) {
  if (report.report_address.empty() || report.draining ||
      Contains(hosts_, report.host)) {
    return;
  }
  log_.Write(EventLine("host.announced").Text("host", report.host));
  announced_hosts_[report.host] = {.name = report.host,
                                   .report_address = report.report_address,
                                   .data_centre = report.data_centre};
  UpdateKnownHosts();
}

bool ReportExchange::ShouldAnnounceSelf(MonotonicTime now) const {
  return !Contains(*listed_hosts_, host_) ||
         now - started_at_ < kAnnouncementPeriod;
}

std::size_t ReportExchange::HostCount() const {
  std::size_t count = 1;
  for (const HostEntry& it : hosts_) {
    if (it.name != host_ && !draining_hosts_.contains(it.name)) {
      ++count;
    }
  }
  return count;
}

void ReportExchange::CheckForGoneHosts() {
  const MonotonicTime now = BootTimeNow();
  std::vector<std::string> gone;
  for (const HostEntry& it : hosts_) {
    MonotonicTime& last_report_at = last_report_at_[it.name];
    if (it.name != host_ && now - last_report_at > kHostGoneTimeout) {
      // Restarts the timeout, so that on_host_gone is called again for this
      // host only after another kHostGoneTimeout.
      last_report_at = now;
      gone.push_back(it.name);
    }
  }
  for (const std::string& it : gone) {
    if (announced_hosts_.erase(it) > 0) {
      UpdateKnownHosts();
    } else {
      handlers_.on_host_gone(it);
    }
  }
}

void ReportExchange::LogSilentHosts(MonotonicTime now) {
  for (const HostEntry& it : hosts_) {
    const Duration silence = now - last_report_at_[it.name];
    if (it.name != host_ && silence > fanout_.ReportLifetime() &&
        silent_hosts_.insert(it.name).second) {
      log_.Write(EventLine("host.lost")
                     .Text("host", it.name)
                     .Milliseconds("silent_ms", silence));
    }
  }
}

void ReportExchange::OnDatagram(const std::string& bytes) {
  Result<HostReport> decoded = DecodeHostReport(bytes);
  if (!decoded) {
    Log().Warning(ToString(decoded.error()));
    return;
  }
  HostReport& report = decoded.value();
  const std::vector<HostReport> forwarded = std::exchange(report.forwarded, {});
  if (ApplyReport(report) && fanout_.MustForward(report.host)) {
    const std::string host = report.host;
    to_forward_[host] = {.report = std::move(report),
                         .received_at = BootTimeNow()};
  }
  for (const HostReport& it : forwarded) {
    ApplyReport(it);
  }
}

bool ReportExchange::ApplyReport(const HostReport& report) {
  if (report.host == host_ ||
      !fanout_.IsNewer(report.host, report.process, report.sequence)) {
    return false;
  }
  ApplyAnnouncement(report);
  last_report_at_[report.host] = BootTimeNow();
  if (silent_hosts_.erase(report.host) > 0) {
    log_.Write(EventLine("host.regained").Text("host", report.host));
  }
  if (report.draining) {
    draining_hosts_.insert(report.host);
  } else {
    draining_hosts_.erase(report.host);
  }
  handlers_.on_report(report);
  return true;
}

void ReportExchange::ScheduleReports() {
  report_timer_.expires_after(interval_);
  report_timer_.async_wait([this](const boost::system::error_code& ec) {
    if (ec) {
      return;
    }
    SendDataCentreReport();
    const MonotonicTime now = BootTimeNow();
    LogSilentHosts(now);
    if (now >= remote_report_due_at_) {
      remote_report_due_at_ =
          now + fanout_.RemoteInterval() - kEarlyTimerTolerance;
      SendReport({}, fanout_.NextRemoteAddresses());
    }
    ScheduleReports();
  });
}

void ReportExchange::OnLoadChanged() {
  if (load_report_scheduled_) {
    return;
  }
  load_report_scheduled_ = true;
  load_report_timer_.expires_after(fanout_.LoadReportDelay());
  load_report_timer_.async_wait([this](const boost::system::error_code& ec) {
    load_report_scheduled_ = false;
    if (!ec) {
      SendDataCentreReport();
    }
  });
}

void ReportExchange::SendDataCentreReport() {
  const MonotonicTime now = BootTimeNow();
  std::vector<HostReport> forwarded;
  for (auto& [host, it] : std::exchange(to_forward_, {})) {
    if (now - it.received_at <= kMaxForwardDelay) {
      forwarded.push_back(std::move(it.report));
    }
  }
  SendReport(std::move(forwarded), fanout_.LocalAddresses());
}

void ReportExchange::SendReport(std::vector<HostReport> forwarded,
                                const std::vector<std::string>& addresses) {
  if (addresses.empty()) {
    return;
  }
  HostReport report = handlers_.build_report();
  report.sequence = ++sequence_;
  if (ShouldAnnounceSelf(BootTimeNow())) {
    report.report_address = address_;
    report.data_centre = data_centre_;
  }
  report.forwarded = std::move(forwarded);
  const std::string bytes = EncodeHostReport(report);
  for (const std::string& it : addresses) {
    socket_.Send(bytes, it);
  }
}

}  // namespace flamingogauge
