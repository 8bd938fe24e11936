#include "plugins/gateway/relay.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <set>
#include <utility>

#include "libs/kernel/boot_clock.h"
#include "libs/model/fingerprint.h"
#include "plugins/gateway/fleet_events.h"
#include "plugins/gateway/local_response.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr int kServiceUnavailable = 503;
// How long after start-up requests wait for the first routing document.
constexpr milliseconds kMaxStartupWait{1000};
// The interval at which the requests that this host places itself are
// reconsidered without an event.
constexpr milliseconds kPlacementInterval{50};
// Leaves most of the log to the requests that are served.
constexpr int kDeniedLinesPerSecond = 100;
// Ids of requests are as long as their sender likes.
constexpr std::size_t kMaxLoggedIdBytes = 200;

ResendBudgetOptions ResendOptions(const GatewaySettings& settings) {
  return {.ratio = settings.resend_ratio,
          .shared_allowance = settings.resend_allowance,
          .window = settings.resend_window};
}

PlacerOptions PlacementOptions(const GatewaySettings& settings,
                               std::uint64_t process,
                               VersionGate* version_gate) {
  return {.host = settings.host,
          .process = process,
          .data_centre = settings.data_centre,
          .dispatcher = {
              .data_centre = settings.data_centre,
              .regions = settings.regions,
              .seed = ComputeContentHash(settings.host).low,
              .pace = {.start_requests = settings.upstream_start_requests},
              .version_gate = version_gate}};
}

}  // namespace

Relay::Relay(boost::asio::io_context& io,
             const GatewaySettings& settings,
             EventLog& log,
             MetricsRegistry& metrics,
             std::function<void()> on_placer_changed,
             VersionGate* version_gate)
    : process_(
          static_cast<std::uint64_t>(BootTimeNow().time_since_epoch().count())),
      context_{
          .io = io,
          .settings = settings,
          .log = log,
          .metrics = metrics,
          .fleet = {},
          .placer = Placer(PlacementOptions(settings, process_, version_gate)),
          .rate_limiter = SharedRateLimiter(BootTimeNow()),
          .resends = ResendBudget(ResendOptions(settings)),
          .crashes = {},
          .connections = UpstreamConnections(io, settings.headers.request_id),
          .schedule_placement = [this] { SchedulePlacement(); },
          .on_placer_changed = std::move(on_placer_changed),
          .on_quarantine_changed = [this] { OnQuarantineChanged(); },
          .on_request_ended = {}},
      placement_timer_(io),
      started_at_(BootTimeNow()),
      denied_lines_(kDeniedLinesPerSecond),
      malformed_lines_(kDeniedLinesPerSecond),
      classifier_(context_, prior_waits_),
      explainer_(context_, classifier_) {
  RegisterGauges();
}

void Relay::Reload(const GatewaySettings& settings) {
  context_.settings.Reload(settings);
  context_.placer.SetRegions(settings.regions);
  context_.resends.SetOptions(ResendOptions(settings));
}

void Relay::OnFleet(const FleetSnapshot& snapshot) {
  const MonotonicTime now = BootTimeNow();
  const bool new_routing = context_.fleet.routing != snapshot.routing;
  const bool new_upstreams = context_.fleet.upstreams != snapshot.upstreams;
  if (new_upstreams) {
    for (EventLine& it :
         UpstreamListEvents(context_.fleet.upstreams, snapshot.upstreams)) {
      context_.log.Write(std::move(it));
    }
  }
  context_.fleet = snapshot;
  if (new_routing && snapshot.routing) {
    context_.rate_limiter.SetLimits(*snapshot.routing, now);
    context_.placer.SetWorkspaceWeights(WeightsByRateLimit(*snapshot.routing));
  }
  if (new_upstreams) {
    context_.placer.SetUpstreams(*snapshot.upstreams, now);
    std::set<std::string> addresses;
    for (const UpstreamEntry& it : *snapshot.upstreams) {
      addresses.insert(it.address);
    }
    context_.connections.CloseOthers(addresses);
    SchedulePlacement();
  }
  if (!IsStarting()) {
    HandleEarlyRequests();
  }
}

// Callers connect as soon as a restarted host listens, but its first read of
// the store takes another round trip.
bool Relay::IsStarting() const {
  const bool knows_enough =
      context_.fleet.routing && context_.placer.HasAnyUpstream();
  return !knows_enough && BootTimeNow() - started_at_ < kMaxStartupWait;
}

void Relay::HandleEarlyRequests() {
  for (auto& [id, it] : std::exchange(early_requests_, {})) {
    const std::shared_ptr<HttpSession> session = it.session.lock();
    if (session && session->is_open()) {
      session->SetDisconnectHandler(nullptr);
      Handle(session, std::move(it.request), it.arrived_at);
    }
  }
}

void Relay::OnSummary(const FleetSummary& summary) {
  context_.rate_limiter.OnOthersUsage(
      summary.process, summary.usage,
      static_cast<std::size_t>(std::max(1, summary.reachable_hosts)),
      BootTimeNow());
}

void Relay::OnCrashEvidence(const CrashEvidence& evidence) {
  context_.crashes.Merge(evidence, BootTimeNow());
  OnQuarantineChanged();
}

CrashEvidence Relay::ReportCrashEvidence() {
  CrashEvidence evidence = context_.crashes.Report(BootTimeNow());
  OnQuarantineChanged();
  return evidence;
}

void Relay::OnQuarantineChanged() {
  const std::vector<CrashQuarantine::Change> changes =
      context_.crashes.TakeChanges();
  for (const CrashQuarantine::Change& it : changes) {
    context_.log.Write(
        EventLine(it.began ? "quarantine.began" : "quarantine.ended")
            .Text("key", ToString(it.entry.key))
            .Milliseconds("age_ms", it.entry.age)
            .Number("strikes", it.entry.strikes)
            .Number("crashes", it.crashes));
  }
  if (changes.empty()) {
    return;
  }
  const auto exchanges = exchanges_;
  for (const auto& [id, exchange] : exchanges) {
    exchange->RefuseIfQuarantined();
  }
}

void Relay::SetHostCount(std::size_t hosts) {
  context_.rate_limiter.SetHostCount(hosts);
  context_.resends.SetHostCount(hosts);
}

void Relay::CompleteState(HostMessage& message) {
  const MonotonicTime now = BootTimeNow();
  message.draining = context_.is_draining();
  message.usage = context_.rate_limiter.OwnUsage(now);
  message.evidence = ReportCrashEvidence();
}

void Relay::Tick() {
  const MonotonicTime now = BootTimeNow();
  if (!early_requests_.empty() && !IsStarting()) {
    HandleEarlyRequests();
  }
  context_.connections.CloseExpired(now);
}

bool Relay::IsReady() const {
  return !context_.is_draining() && context_.fleet.routing != nullptr &&
         context_.placer.HasAnyUpstream() &&
         classifier_.RoutingAge(BootTimeNow()) <=
             context_.settings.changes.max_key_age();
}

void Relay::BeginDrain() {
  context_.drain.emplace(
      DrainOptions{.min_time = context_.settings.drain_min_time,
                   .time_limit = context_.settings.drain_time_limit},
      BootTimeNow());
  context_.placer.SetDraining();
}

void Relay::AbortAllRequests() {
  const auto exchanges = exchanges_;
  for (const auto& [id, exchange] : exchanges) {
    exchange->AbortOnShutdown();
  }
}

CallerLimits Relay::Limits() const {
  return context_.fleet.routing ? context_.fleet.routing->limits
                                : CallerLimits{};
}

void Relay::OnRefused(int status, const std::string& reason) {
  if (const auto left_out = malformed_lines_.Allow(BootTimeNow())) {
    context_.log.Write(EventLine("request.malformed")
                           .Number("status", status)
                           .Text("reason", reason)
                           .Number("left_out", *left_out));
  }
  context_.metrics.Add("flamingogauge_requests_total",
                       Label("outcome", "malformed"));
}

void Relay::OnRequest(const std::shared_ptr<HttpSession>& session,
                      ParsedRequest request,
                      MonotonicTime arrived_at) {
  if (IsStarting()) {
    const std::uint64_t id = next_id_++;
    early_requests_.emplace(id, EarlyRequest{.session = session,
                                             .request = std::move(request),
                                             .arrived_at = arrived_at});
    session->SetDisconnectHandler([this, id] { early_requests_.erase(id); });
    return;
  }
  Handle(session, std::move(request), arrived_at);
}

void Relay::Handle(const std::shared_ptr<HttpSession>& session,
                   ParsedRequest request,
                   MonotonicTime arrived_at) {
  AcceptedRequest accepted{.id = next_id_++,
                           .request = std::move(request),
                           .arrived_at = arrived_at,
                           .routing = context_.fleet.routing};
  const std::string* request_id =
      accepted.request.fields.Find(context_.settings.headers.request_id);
  if (request_id != nullptr) {
    accepted.request_id = *request_id;
  }
  if (const std::optional<Denial> denial = Accept(accepted)) {
    Deny(session, accepted, *denial);
    return;
  }
  const std::uint64_t id = accepted.id;
  auto exchange = std::make_shared<Exchange>(
      context_, session, std::move(accepted), [this](std::uint64_t done) {
        const auto it = exchanges_.find(done);
        if (it != exchanges_.end()) {
          // The exchange is still executing; destroy it after it has returned.
          boost::asio::post(context_.io, [keep = it->second] {});
          exchanges_.erase(it);
        }
      });
  exchanges_.emplace(id, exchange);
  exchange->Start();
}

std::optional<Denial> Relay::Accept(AcceptedRequest& accepted) {
  context_.crashes.Update(accepted.arrived_at);
  std::optional<Denial> denial = classifier_.Classify(accepted, BootTimeNow());
  if (!accepted.service.empty()) {
    prior_waits_.Record(accepted.route->name,
                        classifier_.CallerTimeout(accepted),
                        accepted.route->timeout);
  }
  if (denial && denial->is_quarantined) {
    context_.metrics.Add("flamingogauge_quarantine_refusals_total", "");
  }
  if (accepted.spent > 0) {
    // Succeeds if the workspace was found to be within its limit; if it was
    // not, the demand is counted.
    context_.rate_limiter.TrySpend(*accepted.workspace, accepted.spent,
                                   accepted.arrived_at,
                                   accepted.limit_priority);
  }
  return denial;
}

void Relay::LogDenied(const AcceptedRequest& accepted, const Denial& denial) {
  const auto left_out = denied_lines_.Allow(BootTimeNow());
  if (!left_out) {
    return;
  }
  EventLine line("request.denied");
  line.Text("request", accepted.request_id.substr(0, kMaxLoggedIdBytes))
      .Number("status", denial.status)
      .Text("reason", denial.reason);
  if (accepted.route != nullptr) {
    line.Text("route", accepted.route->name);
  }
  if (accepted.routing) {
    line.Number("routing_version",
                static_cast<std::int64_t>(accepted.routing->version))
        .Milliseconds("routing_age_ms",
                      classifier_.RoutingAge(accepted.arrived_at));
  }
  if (accepted.workspace != nullptr) {
    line.Text("workspace", accepted.workspace->name)
        .Number("limit_units_per_second",
                static_cast<std::int64_t>(accepted.workspace->rate_per_second))
        .Number("limit_burst",
                static_cast<std::int64_t>(accepted.workspace->burst));
  }
  if (*left_out > 0) {
    line.Number("left_out", *left_out);
  }
  context_.log.Write(std::move(line));
}

void Relay::Deny(const std::shared_ptr<HttpSession>& session,
                 const AcceptedRequest& accepted,
                 const Denial& denial) {
  LogDenied(accepted, denial);
  context_.metrics.Add("flamingogauge_requests_total",
                       Label("outcome", "denied"));
  context_.metrics.Add("flamingogauge_unanswered_total",
                       Label("reason", denial.reason));
  const bool keep_open = accepted.request.keep_alive && !context_.is_draining();
  session->Write(FormatLocalResponse(
      {.status = denial.status,
       .request_id_header = context_.settings.headers.request_id,
       .request_id = accepted.request_id,
       .retry_after = denial.retry_after,
       .keep_open = keep_open}));
  session->Finish(keep_open);
}

void Relay::SchedulePlacement() {
  if (placement_scheduled_) {
    return;
  }
  placement_scheduled_ = true;
  boost::asio::post(context_.io, [this] {
    placement_scheduled_ = false;
    PlaceWaiting();
  });
}

void Relay::PlaceWaiting() {
  for (const Placement& it : context_.placer.Place(BootTimeNow())) {
    const auto exchange = exchanges_.find(it.request);
    if (exchange == exchanges_.end()) {
      // The sending of another one has ended it.
      context_.placer.OnNotSent(it);
      context_.on_placer_changed();
      SchedulePlacement();
      continue;
    }
    const auto keep = exchange->second;
    keep->SendTo(it.upstream);
  }
  for (const Rejection& it : context_.placer.Reject(BootTimeNow())) {
    const auto exchange = exchanges_.find(it.request);
    if (exchange != exchanges_.end()) {
      const auto keep = exchange->second;
      keep->Refuse(kServiceUnavailable, it.retry_after, it.reason);
    }
  }
  if (context_.placer.local_count() > 0) {
    placement_timer_.expires_after(kPlacementInterval);
    placement_timer_.async_wait([this](const boost::system::error_code& ec) {
      if (!ec) {
        SchedulePlacement();
      }
    });
  }
}

Result<Explanation> Relay::Explain(const ExplainQuestion& question,
                                   const PlacementView& view) const {
  if (IsStarting()) {
    return Explanation{.host = context_.settings.host,
                       .decided_by = context_.settings.host};
  }
  return explainer_.Explain(question, view, BootTimeNow());
}

}  // namespace flamingogauge
