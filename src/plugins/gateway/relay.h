#ifndef FLAMINGOGAUGE_PLUGINS_GATEWAY_RELAY_H_
#define FLAMINGOGAUGE_PLUGINS_GATEWAY_RELAY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "libs/coordination/coordination_messages.h"
#include "libs/dispatching/prior_wait_estimator.h"
#include "libs/kernel/line_limiter.h"
#include "plugins/gateway/exchange.h"
#include "plugins/gateway/http_session.h"
#include "plugins/gateway/relay_context.h"
#include "plugins/gateway/request_classifier.h"
#include "plugins/gateway/request_explainer.h"

namespace flamingogauge {

// Accepts callers' requests, checks them against the routing document, and
// starts an Exchange for each. Runs on the gateway's thread.
class Relay : public HttpRequestHandler {
 public:
  Relay(boost::asio::io_context& io,
        const GatewaySettings& settings,
        EventLog& log,
        MetricsRegistry& metrics,
        std::function<void()> on_placer_changed,
        VersionGate* version_gate = nullptr);

  // Applies the settings that may change at run time.
  void Reload(const GatewaySettings& settings);
  void OnFleet(const FleetSnapshot& snapshot);
  // Applies what the coordinator reports of the other hosts.
  void OnSummary(const FleetSummary& summary);
  // Applies what another host reports of crashed upstreams.
  void OnCrashEvidence(const CrashEvidence& evidence);
  CrashEvidence ReportCrashEvidence();
  // Sets the number of hosts that share the limits, including this one.
  void SetHostCount(std::size_t hosts);
  // Adds consumption, crash evidence and the shutdown to this host's state.
  void CompleteState(HostMessage& message);
  // Called at the end of each request at an upstream.
  void SetRequestObserver(std::function<void(const EndedRequest&)> observer) {
    context_.on_request_ended = std::move(observer);
  }
  // Schedules the placement of waiting requests after the current event.
  void SchedulePlacement();
  // Handles requests that arrived during start-up and closes expired idle
  // connections; to be called periodically.
  void Tick();
  // True if requests wait for the first routing document.
  bool has_early_requests() const { return !early_requests_.empty(); }

  // Returns true if callers should connect to this host.
  bool IsReady() const;
  bool is_draining() const { return context_.is_draining(); }
  Placer& placer() { return context_.placer; }
  // Identifies this process among those of the same host.
  std::uint64_t process() const { return process_; }
  void BeginDrain();
  // Valid after BeginDrain().
  DrainProgress& drain() { return *context_.drain; }
  void AbortAllRequests();
  // Accepted requests that have not ended, including those that wait for the
  // first routing document.
  std::size_t unfinished_count() const {
    return exchanges_.size() + early_requests_.size();
  }
  // Answers what would become of a request that arrived now; see
  // RequestExplainer.
  Result<Explanation> Explain(const ExplainQuestion& question,
                              const PlacementView& view) const;
  // Requests in progress at upstreams, by service and version; also at
  // upstreams that are no longer listed.
  std::map<std::string, std::map<std::string, std::uint32_t>> Running() const;
  // Returns a JSON object for the state dump.
  std::string DumpState() const;

  void OnRequest(const std::shared_ptr<HttpSession>& session,
                 ParsedRequest request,
                 MonotonicTime arrived_at) override;
  CallerLimits Limits() const override;
  void OnRefused(int status, const std::string& reason) override;

 private:
  // A request that arrived before routes and upstreams were loaded.
  struct EarlyRequest {
    std::weak_ptr<HttpSession> session;
    ParsedRequest request;
    MonotonicTime arrived_at;
  };

  void RegisterGauges();
  bool IsStarting() const;
  // Handles the requests that arrived during start-up.
  void HandleEarlyRequests();
  void Handle(const std::shared_ptr<HttpSession>& session,
              ParsedRequest request,
              MonotonicTime arrived_at);
  // Classifies a request and charges it to its workspace. Returns why it is
  // refused, if it is.
  std::optional<Denial> Accept(AcceptedRequest& accepted);
  void LogDenied(const AcceptedRequest& accepted, const Denial& denial);
  void Deny(const std::shared_ptr<HttpSession>& session,
            const AcceptedRequest& accepted,
            const Denial& denial);
  void PlaceWaiting();
  // Logs the keys that are or are no longer refused, and answers the requests
  // that wait with one of them.
  void OnQuarantineChanged();

  // Distinguishes this process from earlier ones of the same host.
  const std::uint64_t process_;
  RelayContext context_;
  boost::asio::steady_timer placement_timer_;
  std::unordered_map<std::uint64_t, std::shared_ptr<Exchange>> exchanges_;
  const MonotonicTime started_at_;
  // In the order of their arrival; without those whose caller has left.
  std::map<std::uint64_t, EarlyRequest> early_requests_;
  LineLimiter denied_lines_;
  LineLimiter malformed_lines_;
  std::uint64_t next_id_ = 1;
  bool placement_scheduled_ = false;
  PriorWaitEstimator prior_waits_;
  const RequestClassifier classifier_;
  const RequestExplainer explainer_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_PLUGINS_GATEWAY_RELAY_H_
