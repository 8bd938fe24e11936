#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_COORDINATION_NODE_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_COORDINATION_NODE_H_

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

#include "libs/coordination/coordinator.h"
#include "libs/coordination/placement_view.h"
#include "libs/coordination/placer.h"
#include "libs/fleet/host_entry.h"
#include "libs/kernel/error.h"
#include "libs/kernel/event_log.h"
#include "libs/metrics/metrics_registry.h"
#include "plugins/gateway/coordination_codec.h"
#include "plugins/gateway/datagram_socket.h"
#include "plugins/gateway/gateway_settings.h"
#include "plugins/gateway/pace_events.h"

namespace flamingogauge {

// Callbacks that add what is known of roll-outs to messages, and that apply
// what other hosts tell. Without them nothing is told.
struct RolloutMessageHandlers {
  std::function<void(const std::string& coordinator, HostMessage&)>
      complete_state = [](const std::string&, HostMessage&) {};
  std::function<RolloutReport()> summary = [] { return RolloutReport{}; };
  std::function<RolloutReport(const std::string& receiver)> data_centre_report =
      [](const std::string&) { return RolloutReport{}; };
  std::function<void(const HostMessage&)> on_host = [](const HostMessage&) {};
  std::function<void(const FleetSummary&)> on_summary =
      [](const FleetSummary&) {};
  std::function<void(const FleetSummary&)> on_data_centre =
      [](const FleetSummary&) {};
};

// Callbacks that a CoordinationNode needs from its owner.
struct CoordinationHandlers {
  // Adds this host's consumption, crash evidence and the like to its state.
  std::function<void(HostMessage&)> complete_state;
  // Called after the placer received replies of a coordinator.
  std::function<void()> on_placed;
  // Called for a newer summary of the coordinator in use.
  std::function<void(const FleetSummary&)> on_summary;
  std::function<void(const CrashEvidence&)> on_crash_evidence;
  std::function<CrashEvidence()> crash_evidence;
  std::function<bool()> is_draining;
  RolloutMessageHandlers rollouts;
  // Called for a listed host of this data centre that has been silent for so
  // long that it is considered permanently gone.
  std::function<void(const std::string& host)> on_host_gone;
  // Called for a message of a host that is not listed.
  std::function<void(const std::string& host)> on_host_unlisted;
};

// Carries the messages between this host's Placer and the coordinators, and
// runs the Coordinator of this host, which acts when others turn to it.
// Datagrams are accepted only from the listed address of the host that they
// name. Accessed only on the gateway's thread once it is running.
class CoordinationNode {
 public:
  CoordinationNode(boost::asio::io_context& io,
                   const GatewaySettings& settings,
                   std::uint64_t process,
                   Placer& placer,
                   EventLog& log,
                   MetricsRegistry& metrics,
                   CoordinationHandlers handlers,
                   VersionGate* version_gate = nullptr);

  // Opens the socket and starts periodic messages.
  Result<void> Start();
  void SetInterval(std::chrono::milliseconds interval) { interval_ = interval; }
  void SetRegions(const std::map<std::string, std::string>& regions);
  void SetHosts(const std::vector<HostEntry>& hosts);
  void SetUpstreams(const std::vector<UpstreamEntry>& upstreams);
  void SetWorkspaceWeights(WorkspaceWeights weights);

  // Requests that wait here may now go to other upstreams.
  void OnGateChanged() { ScheduleRun(); }
  // Sends the placer's urgent changes soon.
  void OnPlacerChanged();
  // Who places the requests of this host now.
  PlacementView View() const;

  // The number of hosts that share the limits, including this one.
  std::size_t HostCount() const;
  const Coordinator& coordinator() const { return coordinator_; }
  // True if this host is the coordinator in use.
  bool IsCoordinator() const;

 private:
  void RegisterGauges();
  void ScheduleStates();
  // Keep a coordinator's periodic messages going while hosts turn to it.
  void ScheduleSummaries();
  void ScheduleReports();
  // Runs the placer's checks while requests wait for an acknowledgement.
  void ScheduleCheck();
  // Runs the coordinator after the current event, and again while requests
  // wait.
  void ScheduleRun();
  void RunCoordinator();
  // Logs what changed the paces of upstreams, while this host coordinates.
  void LogPaces();
  void SendState(const std::string& coordinator);
  void SendSummaries();
  void SendReport();
  void OnDatagram(const std::string& bytes, const std::string& sender);
  void OnMessage(const HostMessage& message, const std::string& sender);
  void OnMessage(const CoordinatorMessage& message, const std::string& sender);
  void OnMessage(const FleetSummary& summary, const std::string& sender);
  void OnMessage(const DataCentreReport& report, const std::string& sender);
  // Applies messages that came from other hosts or from this one.
  void ApplyState(const HostMessage& message);
  void LogRefusals(MonotonicTime now);
  void ApplyReply(const CoordinatorMessage& message);
  void ApplySummary(const FleetSummary& summary);
  // True if `sender` is the listed address of `host`; counts other datagrams.
  bool IsFrom(const std::string& host, const std::string& sender);
  // Notices that this process was paused.
  void CheckPause();
  void CheckForGoneHosts(MonotonicTime now);
  void LogCoordinator(MonotonicTime now);
  // Counts a message that was for an earlier process of this host.
  void CountOutdated();
  void Send(const CoordinationMessage& message, const std::string& address);

  boost::asio::io_context& io_;
  const std::string host_;
  const std::string address_;
  const std::string data_centre_;
  std::chrono::milliseconds interval_;
  const std::uint64_t process_;
  Placer& placer_;
  EventLog& log_;
  MetricsRegistry& metrics_;
  const CoordinationHandlers handlers_;
  Coordinator coordinator_;
  DatagramSocket socket_;
  boost::asio::steady_timer state_timer_;
  boost::asio::steady_timer urgent_timer_;
  boost::asio::steady_timer check_timer_;
  boost::asio::steady_timer run_timer_;
  boost::asio::steady_timer summary_timer_;
  boost::asio::steady_timer report_timer_;
  bool urgent_scheduled_ = false;
  bool check_scheduled_ = false;
  bool run_scheduled_ = false;
  bool summaries_scheduled_ = false;
  bool reports_scheduled_ = false;
  std::uint64_t summary_rounds_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t report_rounds_ = 0;
  std::size_t upstream_count_ = 0;
  // Addresses of the listed hosts, by name.
  std::map<std::string, std::string> addresses_;
  // The hosts of this data centre.
  std::set<std::string> nearby_hosts_;
  // The hosts of each other data centre that act as coordinator, in order.
  std::map<std::string, std::vector<std::string>> remote_coordinators_;
  std::set<std::string> draining_hosts_;
  // When hosts of this data centre were last heard of, or first listed.
  std::map<std::string, MonotonicTime> heard_at_;
  std::set<std::string> silent_hosts_;
  std::string logged_coordinator_;
  MonotonicTime active_at_;
  PaceLogFilter pace_log_;
  MonotonicTime refusals_logged_at_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_COORDINATION_NODE_H_
