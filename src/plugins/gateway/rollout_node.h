#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_ROLLOUT_NODE_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_ROLLOUT_NODE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "libs/coordination/coordination_messages.h"
#include "libs/kernel/event_log.h"
#include "libs/metrics/metrics_registry.h"
#include "libs/rollouts/rollout_controller.h"
#include "libs/services/fleet_source.h"
#include "libs/services/fleet_store.h"
#include "plugins/gateway/gateway_settings.h"

namespace flamingogauge {

// Callbacks that a RolloutNode needs from its owner.
struct RolloutHandlers {
  // Requests of this host in progress at upstreams.
  std::function<RolloutController::Running()> running;
  // True if other hosts of the data centre turn to this one.
  std::function<bool()> is_coordinator;
  // Called when requests that wait may go elsewhere.
  std::function<void()> on_gate_changed;
};

// Connects the RolloutController of this host to the fleet data, the messages
// between hosts, the store and the log. Accessed only on the gateway's thread.
class RolloutNode {
 public:
  RolloutNode(boost::asio::io_context& io,
              const GatewaySettings& settings,
              FleetStore& store,
              EventLog& log,
              MetricsRegistry& metrics);
  RolloutNode(const RolloutNode&) = delete;
  RolloutNode& operator=(const RolloutNode&) = delete;
  ~RolloutNode();

  // To be called before any other function but gate().
  void SetHandlers(RolloutHandlers handlers);
  VersionGate& gate() { return controller_.gate(); }

  void SetRegions(const std::map<std::string, std::string>& regions);
  // To be called before the upstreams and hosts of the snapshot are used.
  void OnFleet(const FleetSnapshot& snapshot);
  void OnRequestEnded(const EndedRequest& request);

  void CompleteState(const std::string& coordinator, HostMessage& message);
  RolloutReport Summary();
  RolloutReport DataCentreReport(const std::string& receiver);
  void OnHostMessage(const HostMessage& message);
  void OnSummary(const FleetSummary& summary);
  void OnDataCentreReport(const FleetSummary& report);

  // Returns a JSON array for the state dump.
  std::string DumpState() const;

 private:
  void ScheduleTick();
  void Tick();
  void Write(const RolloutStatusWrite& write);
  void Log(const RolloutEvent& event);
  std::size_t Rank() const;

  boost::asio::io_context& io_;
  const std::string data_centre_;
  FleetStore& store_;
  EventLog& log_;
  MetricsRegistry& metrics_;
  RolloutController controller_;
  RolloutHandlers handlers_;
  boost::asio::steady_timer timer_;
  bool tick_scheduled_ = false;
  FleetSnapshot fleet_;
  // Lets answers of the store find out whether this object still exists.
  std::shared_ptr<RolloutNode*> self_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_ROLLOUT_NODE_H_
