#include "plugins/gateway/rollout_node.h"

#include <boost/asio/post.hpp>

#include <chrono>
#include <set>
#include <utility>

#include "libs/kernel/boot_clock.h"
#include "libs/model/fingerprint.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTickInterval{100};

milliseconds UnixTimeNow() {
  return std::chrono::duration_cast<milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

std::string_view EventName(RolloutEvent::Kind kind) {
  switch (kind) {
    case RolloutEvent::Kind::kBegan:
      return "rollout.began";
    case RolloutEvent::Kind::kStep:
      return "rollout.step";
    case RolloutEvent::Kind::kVerdict:
      return "rollout.verdict";
    case RolloutEvent::Kind::kEnded:
      return "rollout.ended";
  }
  return "";
}

std::string_view OutcomeName(RolloutOutcome outcome) {
  switch (outcome) {
    case RolloutOutcome::kNone:
      return "none";
    case RolloutOutcome::kRunning:
      return "running";
    case RolloutOutcome::kCompleted:
      return "completed";
    case RolloutOutcome::kRolledBack:
      return "rolled back";
  }
  return "";
}

}  // namespace

RolloutNode::RolloutNode(boost::asio::io_context& io,
                         const GatewaySettings& settings,
                         FleetStore& store,
                         EventLog& log,
                         MetricsRegistry& metrics)
    : io_(io),
      data_centre_(settings.data_centre),
      store_(store),
      log_(log),
      metrics_(metrics),
      controller_({.host = settings.host,
                   .data_centre = settings.data_centre,
                   .regions = settings.regions,
                   .limits = settings.rollouts}),
      timer_(io),
      self_(std::make_shared<RolloutNode*>(this)) {
  controller_.OnStarted(BootTimeNow());
  metrics_.SetGauge("flamingogauge_rollouts_in_progress", [this] {
    double count = 0;
    for (const auto& [service, record] : controller_.records()) {
      count += record.HasEnded() ? 0 : 1;
    }
    return count;
  });
}

RolloutNode::~RolloutNode() {
  *self_ = nullptr;
}

void RolloutNode::SetHandlers(RolloutHandlers handlers) {
  handlers_ = std::move(handlers);
}

void RolloutNode::SetRegions(
    const std::map<std::string, std::string>& regions) {
  controller_.SetRegions(regions);
}

void RolloutNode::OnFleet(const FleetSnapshot& snapshot) {
  const MonotonicTime now = BootTimeNow();
  const FleetSnapshot before = std::exchange(fleet_, snapshot);
  if (before.hosts != snapshot.hosts && snapshot.hosts) {
    controller_.SetHosts(*snapshot.hosts, now);
  }
  if (before.upstreams != snapshot.upstreams && snapshot.upstreams) {
    controller_.SetUpstreams(*snapshot.upstreams, UnixTimeNow(), now);
  }
  if (before.rollouts != snapshot.rollouts && snapshot.rollouts) {
    controller_.OnOrders(*snapshot.rollouts, UnixTimeNow(), now);
  }
  ScheduleTick();
}

void RolloutNode::OnRequestEnded(const EndedRequest& request) {
  controller_.OnRequestEnded(request, BootTimeNow());
}

void RolloutNode::CompleteState(const std::string& coordinator,
                                HostMessage& message) {
  const MonotonicTime now = BootTimeNow();
  if (controller_.IsActive(now)) {
    message.rollouts =
        controller_.HostReport(coordinator, handlers_.running(), now);
  }
}

RolloutReport RolloutNode::Summary() {
  return controller_.Summary(BootTimeNow());
}

RolloutReport RolloutNode::DataCentreReport(const std::string& receiver) {
  return controller_.DataCentreReport(receiver, BootTimeNow());
}

void RolloutNode::OnHostMessage(const HostMessage& message) {
  if (!message.rollouts.rollouts.empty()) {
    controller_.OnHostReport(message.host, message.process, message.rollouts,
                             BootTimeNow());
    ScheduleTick();
  }
}

void RolloutNode::OnSummary(const FleetSummary& summary) {
  controller_.OnHeard(BootTimeNow());
  if (!summary.rollouts.rollouts.empty()) {
    controller_.OnSummary(summary.rollouts, BootTimeNow());
    ScheduleTick();
  }
}

void RolloutNode::OnDataCentreReport(const FleetSummary& report) {
  if (!report.rollouts.rollouts.empty()) {
    controller_.OnDataCentreReport(report.data_centre, report.rollouts,
                                   BootTimeNow());
    ScheduleTick();
  }
}

void RolloutNode::ScheduleTick() {
  if (tick_scheduled_ || !controller_.IsActive(BootTimeNow())) {
    return;
  }
  tick_scheduled_ = true;
  timer_.expires_after(kTickInterval);
  timer_.async_wait([this](const boost::system::error_code& ec) {
    tick_scheduled_ = false;
    if (!ec) {
      Tick();
      ScheduleTick();
    }
  });
}

std::size_t RolloutNode::Rank() const {
  std::set<std::string> data_centres;
  if (fleet_.hosts) {
    for (const HostEntry& it : *fleet_.hosts) {
      data_centres.insert(it.data_centre);
    }
  }
  return static_cast<std::size_t>(std::distance(
      data_centres.begin(), data_centres.lower_bound(data_centre_)));
}

void RolloutNode::Tick() {
  const RolloutController::Role role{
      .reads_store = fleet_.reads_store,
      .is_coordinator = handlers_.is_coordinator(),
      .rank = fleet_.reads_store ? Rank() : 0};
  const RolloutActions actions =
      controller_.Tick(role, UnixTimeNow(), BootTimeNow());
  for (const RolloutEvent& it : actions.events) {
    Log(it);
  }
  for (const RolloutStatusWrite& it : actions.writes) {
    Write(it);
  }
  if (actions.gate_changed) {
    handlers_.on_gate_changed();
  }
}

void RolloutNode::Write(const RolloutStatusWrite& write) {
  store_.WriteRolloutStatus(
      write.name, write.revision, write.status,
      [&io = io_, weak = std::weak_ptr<RolloutNode*>(self_),
       write](const Result<void>& result) {
        boost::asio::post(io, [weak, write, result] {
          const auto self = weak.lock();
          if (!self || *self == nullptr) {
            return;
          }
          RolloutNode& node = **self;
          node.metrics_.Add("flamingogauge_rollout_writes_total",
                            Label("result", result ? "done" : "failed"));
          node.log_.Write(
              EventLine("rollout.written")
                  .Text("service", write.service)
                  .Text("state", OutcomeName(write.status.outcome))
                  .Number("revision", static_cast<std::int64_t>(write.revision))
                  .Text("result", result ? "done" : ToString(result.error())));
          node.controller_.OnWritten(write, static_cast<bool>(result),
                                     BootTimeNow());
        });
      });
}

void RolloutNode::Log(const RolloutEvent& event) {
  log_.Write(EventLine(EventName(event.kind))
                 .Text("service", event.service)
                 .Text("target", event.target)
                 .Text("detail", event.detail)
                 .Milliseconds("age_ms", event.age));
  if (event.kind == RolloutEvent::Kind::kVerdict) {
    metrics_.Add("flamingogauge_rollout_verdicts_total",
                 Label("service", event.service));
  }
}

std::string RolloutNode::DumpState() const {
  const MonotonicTime now = BootTimeNow();
  std::string dump = "[";
  for (const auto& [service, it] : controller_.records()) {
    EventLine line("rollout.state");
    line.Text("service", service)
        .Text("target", it.target)
        .Text("order", FormatHash(it.order))
        .Number("phase", static_cast<std::int64_t>(it.phase))
        .Text("outcome", OutcomeName(it.outcome))
        .Text("bad", it.is_bad ? it.reason : "")
        .Number("withdrawn", it.is_withdrawn ? 1 : 0)
        .Milliseconds("age_ms", now - it.began_at)
        .Number("target_answers", static_cast<std::int64_t>(
                                      controller_.TargetAnswersOf(it.order)));
    if (it.permitted_at) {
      line.Milliseconds("permission_age_ms", now - *it.permitted_at);
    }
    std::string text = line.Take();
    text.pop_back();
    dump += (dump.size() > 1 ? "," : "") + text;
  }
  return dump + "]";
}

}  // namespace flamingogauge
