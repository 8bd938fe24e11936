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

// What a ReportExchange asks of its owner.
struct ReportExchangeHandlers {
  // The report of this host, without its number.
  std::function<HostReport()> own_report;
  // A report of another host that is newer than its last one.
  std::function<void(const HostReport&)> on_report;
  // A listed host was not heard for so long that it counts as gone for good.
  std::function<void(const std::string& host)> on_host_gone;
};

// Exchanges load reports with the other hosts and knows which of them are
// heard. Used on the gateway's thread, once it runs.
class ReportExchange {
 public:
  ReportExchange(boost::asio::io_context& io,
                 const GatewaySettings& settings,
                 EventLog& log,
                 ReportExchangeHandlers handlers);

  // Opens the socket and begins to report.
  Result<void> Start();
  void SetInterval(std::chrono::milliseconds interval);
  void SetHosts(std::shared_ptr<const std::vector<HostEntry>> hosts);

  // Tells the hosts nearby soon of a change of the load.
  void OnLoadChanged();
  // Tells the owner of hosts that are gone.
  void CheckForGoneHosts();

  // The hosts that share limits with this one, with it.
  std::size_t HostCount() const;
  // How long the newest report of a host counts.
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
  // Returns false for a report that is not newer than the last one.
  bool TakeReport(const HostReport& report);
  // Reports to a host that is not listed yet as to those that are.
  void TakeAnnouncement(const HostReport& report);
  // Joins the listed hosts and those that have announced themselves.
  void JoinHosts();
  // True while other hosts may not have listed this one.
  bool AnnouncesItself(MonotonicTime now) const;
  void NoteSilentHosts(MonotonicTime now);
  // Reports to the hosts of the same data centre, with what has to be passed
  // on to them.
  void SendNearReport();
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
  // All that are known.
  std::vector<HostEntry> hosts_;
  const MonotonicTime started_at_;
  // The newest reports of hosts in other data centres, by host.
  std::map<std::string, ReportToForward> to_forward_;
  std::map<std::string, MonotonicTime> heard_at_;
  std::set<std::string> leaving_hosts_;
  // Listed hosts whose newest report does not count any more.
  std::set<std::string> silent_hosts_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_REPORT_EXCHANGE_H_
