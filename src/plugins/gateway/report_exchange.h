#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_REPORT_EXCHANGE_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_REPORT_EXCHANGE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "libs/dispatching/report_fanout.h"
#include "libs/fleet/host_entry.h"
#include "libs/kernel/error.h"
#include "libs/kernel/event_log.h"
#include "plugins/gateway/gateway_settings.h"
#include "plugins/gateway/host_report.h"
#include "plugins/gateway/report_socket.h"

namespace flamingogauge {

// Callbacks that a ReportExchange needs from its owner.
struct ReportExchangeHandlers {
  // Returns the report of this host without its sequence number.
  std::function<HostReport()> build_report;
  // Called for a report of another host that is newer than its previous one.
  std::function<void(const HostReport&)> on_report;
  // Called for a listed host that has sent no report for so long that it is
  // considered permanently gone.
  std::function<void(const std::string& host)> on_host_gone;
};

// Exchanges load reports with the other hosts and tracks which of them are
// reachable. Accessed only on the gateway's thread once it is running.
class ReportExchange {
 public:
  ReportExchange(boost::asio::io_context& io,
                 const GatewaySettings& settings,
                 EventLog& log,
                 ReportExchangeHandlers handlers);

  // Opens the socket and starts periodic reports.
  Result<void> Start();
  void SetInterval(std::chrono::milliseconds interval);
  void SetHosts(std::shared_ptr<const std::vector<HostEntry>> hosts);

  // Schedules a load report to the other hosts of this data centre.
  void OnLoadChanged();
  // Calls on_host_gone for listed hosts that are considered permanently gone
  // and forgets announced ones.
  void CheckForGoneHosts();

  // The number of hosts that share the limits, including this one.
  std::size_t HostCount() const;
  // How long the latest report of a host remains valid.
  std::chrono::milliseconds ReportLifetime() const {
    return fanout_.ReportLifetime();
  }

 private:
  struct ReportToForward {
    HostReport report;
    MonotonicTime received_at;
  };

  void ScheduleReports();
  void OnDatagram(const std::string& bytes);
  // Returns false for an outdated report or one of this host itself.
  bool ApplyReport(const HostReport& report);
  // Adds a host that is not listed yet to the known hosts.
  void ApplyAnnouncement(const HostReport& report);
  // Merges the listed hosts with those that have announced themselves.
  void UpdateKnownHosts();
  // True while other hosts may not have read this host's entry in the list yet.
  bool ShouldAnnounceSelf(MonotonicTime now) const;
  void LogSilentHosts(MonotonicTime now);
  // Sends this host's report and those to be forwarded to the hosts of the same
  // data centre.
  void SendDataCentreReport();
  void SendReport(std::vector<HostReport> forwarded,
                  const std::vector<std::string>& addresses);

  const std::string host_;
  const std::string address_;
  const std::string data_centre_;
  std::chrono::milliseconds interval_;
  EventLog& log_;
  const ReportExchangeHandlers handlers_;
  ReportSocket socket_;
  boost::asio::steady_timer report_timer_;
  boost::asio::steady_timer load_report_timer_;
  bool load_report_scheduled_ = false;
  ReportFanout fanout_;
  std::uint64_t sequence_ = 0;
  MonotonicTime remote_report_due_at_;
  std::shared_ptr<const std::vector<HostEntry>> listed_hosts_;
  std::map<std::string, HostEntry> announced_hosts_;
  // The listed and the announced hosts.
  std::vector<HostEntry> hosts_;
  const MonotonicTime started_at_;
  // The latest reports of hosts in other data centres, by host.
  std::map<std::string, ReportToForward> to_forward_;
  std::map<std::string, MonotonicTime> last_report_at_;
  std::set<std::string> draining_hosts_;
  // Known hosts whose latest report has expired.
  std::set<std::string> silent_hosts_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_REPORT_EXCHANGE_H_
