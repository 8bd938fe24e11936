#include "policy/simulation.h"

#include <string>
#include <utility>
#include <variant>

#include "libs/kernel/random.h"

namespace flamingogauge::policy {
namespace {

// Start and end times of the injected faults, in seconds.
constexpr double kStragglerStartTime = 60;
constexpr double kStragglerEndTime = 150;
constexpr double kUpstreamLeaveTime = 120;
constexpr double kHostLossTime = 180;
constexpr double kStragglerSlowdown = 10;

// Intervals and delays in seconds.
constexpr double kTickInterval = 0.02;
constexpr double kRenewInterval = 1;
constexpr double kLoadReportInterval = 0.5;
constexpr double kLoadReportDelay = 1;
// Probability that the cache changes of one sample are lost.
constexpr double kCacheEventLossProbability = 0.1;
constexpr double kEndTime = kArrivalSeconds + 1;

// Returns the exact output length of each request, for the oracle policy.
class OracleLengthEstimator : public LengthEstimator {
 public:
  explicit OracleLengthEstimator(const std::vector<Arrival>* arrivals)
      : arrivals_(arrivals) {}
  std::uint32_t Estimate(const PermitRequest& request,
                         std::uint32_t) const override {
    return (*arrivals_)[request.id.sequence - 1].output_tokens;
  }
  void Learn(const WorkspaceId&, std::uint32_t, std::uint32_t) override {}

 private:
  const std::vector<Arrival>* arrivals_;
};

std::chrono::microseconds ToMicroseconds(double seconds) {
  return std::chrono::microseconds(static_cast<std::int64_t>(seconds * 1e6));
}

}  // namespace

Simulation::Simulation(RunOptions options)
    : options_(std::move(options)),
      random_(options_.seed * 7919),
      arrivals_(
          MakeArrivals(options_.deployment, options_.load, options_.seed)) {
  const bool oracle = options_.policy == PolicyKind::kOracle;
  for (const Generation& it : options_.deployment.upstreams) {
    const std::string id = "upstream" + std::to_string(engines_.size());
    config_.upstreams.push_back({.id = id,
                                 .generation = it.name,
                                 .token_capacity = it.token_capacity,
                                 .max_concurrency = 64});
    engines_.emplace_back(id, it);
  }
  for (EngineModel& it : engines_) {
    it.known_blocks = &known_blocks_;
  }
  config_.target = "model";
  config_.goodput_weight = options_.deployment.goodput_weight;
  config_.wasted_prefill_weight = options_.deployment.wasted_prefill_weight;
  GroupPolicies policies;
  switch (options_.policy) {
    case PolicyKind::kDefault:
    case PolicyKind::kOracle:
      policies = DefaultPolicies(config_);
      break;
    case PolicyKind::kRoundRobin:
      policies = RoundRobinPolicies();
      break;
    case PolicyKind::kLeastOutstanding:
      policies = LeastOutstandingPolicies();
      break;
  }
  if (oracle) {
    policies.lengths = std::make_unique<OracleLengthEstimator>(&arrivals_);
  }
  scheduler_ = std::make_unique<GroupScheduler>(
      config_, GroupTiming{}, std::move(policies), Incarnation{.low = 1},
      options_.seed);
}

MonotonicTime Simulation::Now() const {
  return MonotonicTime(std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(now_ + 1)));
}

void Simulation::ScheduleEvent(double time, Kind kind, std::size_t index) {
  events_.push({time, next_event_order_++, kind, index});
}

bool Simulation::IsCounted(const Arrival& arrival) const {
  // Requests from the lost host receive no response under any policy.
  return arrival.time < kCountedSeconds &&
         (!options_.with_lost_host || arrival.host != 0);
}

RunResult Simulation::Run() {
  for (std::size_t it = 0; it < arrivals_.size(); ++it) {
    ScheduleEvent(arrivals_[it].time, Kind::kArrival, it);
  }
  ScheduleEvent(0, Kind::kTick, 0);
  ScheduleEvent(0, Kind::kRenew, 0);
  ScheduleEvent(0, Kind::kLoad, engines_.size());
  if (options_.with_straggler) {
    ScheduleEvent(kStragglerStartTime, Kind::kStragglerStart, 1);
    ScheduleEvent(kStragglerEndTime, Kind::kStragglerEnd, 1);
  }
  if (options_.with_leaving) {
    ScheduleEvent(kUpstreamLeaveTime, Kind::kUpstreamLeaving, 2);
  }
  if (options_.with_lost_host) {
    ScheduleEvent(kHostLossTime, Kind::kHostLost, 0);
  }
  while (!events_.empty() && events_.top().time < kEndTime) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.time;
    Handle(event);
    ApplyActions();
  }
  for (const EngineModel& it : engines_) {
    result_.wasted_prefill += it.recomputed_tokens;
  }
  return std::move(result_);
}

void Simulation::Handle(const Event& event) {
  const bool oracle = options_.policy == PolicyKind::kOracle;
  switch (event.kind) {
    case Kind::kArrival: {
      const Arrival& it = arrivals_[event.index];
      if (it.host == lost_host_) {
        break;
      }
      result_.tiers[it.request.tier].offered += IsCounted(it) ? 1 : 0;
      ScheduleEvent(now_ + kDeadlines[it.request.tier], Kind::kDeadline,
                    event.index);
      scheduler_->Submit(Now(), it.request, "host" + std::to_string(it.host));
      scheduler_->Advance(Now());
      break;
    }
    case Kind::kStep:
      StepEngine(event.index);
      break;
    case Kind::kTick:
      scheduler_->Advance(Now());
      ScheduleEvent(now_ + kTickInterval, Kind::kTick, 0);
      break;
    case Kind::kDeadline:
      Abort(event.index, true);
      break;
    case Kind::kLoad:
      // The index engines_.size() samples all engines; any other index delivers
      // the oldest sampled report.
      if (event.index < engines_.size()) {
        scheduler_->OnLoad(Now(), reports_.front());
        scheduler_->OnCache(Now(), cache_events_.front());
        reports_.pop_front();
        cache_events_.pop_front();
        break;
      }
      for (std::size_t it = 0; it < engines_.size(); ++it) {
        LoadReport report = engines_[it].Load();
        report.age = std::chrono::milliseconds(oracle ? 0 : 1000);
        reports_.push_back(report);
        CacheEvent changes = engines_[it].TakeCacheEvent();
        if (!oracle && random_.NextBool(kCacheEventLossProbability)) {
          changes.stored.clear();
          changes.evicted.clear();
        }
        cache_events_.push_back(std::move(changes));
        ScheduleEvent(now_ + (oracle ? 0 : kLoadReportDelay), Kind::kLoad, it);
      }
      ScheduleEvent(now_ + (oracle ? kTickInterval : kLoadReportInterval),
                    Kind::kLoad, engines_.size());
      break;
    case Kind::kRenew:
      for (const auto& [arrival, flight] : in_flight_) {
        scheduler_->Renew(Now(), flight.permit);
      }
      ScheduleEvent(now_ + kRenewInterval, Kind::kRenew, 0);
      break;
    case Kind::kStragglerStart:
      engines_[event.index].slowdown = kStragglerSlowdown;
      break;
    case Kind::kStragglerEnd:
      engines_[event.index].slowdown = 1;
      break;
    case Kind::kUpstreamLeaving:
      config_.upstreams[event.index].leaving = true;
      scheduler_->Configure(Now(), config_);
      break;
    case Kind::kHostLost:
      HandleHostLoss(event.index);
      break;
  }
}

void Simulation::ApplyActions() {
  for (auto actions = scheduler_->TakeActions(); !actions.empty();
       actions = scheduler_->TakeActions()) {
    for (const GroupAction& it : actions) {
      if (const auto* grant = std::get_if<GrantAction>(&it)) {
        const std::size_t arrival = grant->request.sequence - 1;
        const std::size_t engine = std::stoul(grant->upstream.substr(8));
        in_flight_[arrival] = {grant->permit, engine};
        engines_[engine].Submit(arrivals_[arrival], arrival, now_);
        if (!std::exchange(engines_[engine].step_scheduled, true)) {
          ScheduleEvent(now_, Kind::kStep, engine);
        }
      } else if (const auto* shed = std::get_if<ShedProposal>(&it)) {
        scheduler_->ConfirmShed(Now(), shed->request, "none");
      } else if (const auto* refused = std::get_if<RefuseAction>(&it)) {
        const Arrival& arrival = arrivals_[refused->request.sequence - 1];
        result_.tiers[refused->tier].shed += IsCounted(arrival) ? 1 : 0;
      }
    }
  }
}

void Simulation::StepEngine(std::size_t index) {
  EngineModel& engine = engines_[index];
  if (engine.IsIdle()) {
    engine.step_scheduled = false;
    return;
  }
  std::vector<EngineRequest> completed;
  const double end = engine.Step(now_, completed);
  // Completions are reported at the end of the step because the engine model
  // has no events within a step.
  now_ = end;
  for (const EngineRequest& it : completed) {
    Complete(index, it);
  }
  if (!completed.empty()) {
    scheduler_->Advance(Now());
  }
  ScheduleEvent(end, Kind::kStep, index);
}

void Simulation::Complete(std::size_t engine, const EngineRequest& request) {
  const Arrival& arrival = arrivals_[request.arrival_index];
  const auto flight = in_flight_.find(request.arrival_index);
  if (flight == in_flight_.end()) {
    return;
  }
  TierResult& tier = result_.tiers[arrival.request.tier];
  const double mean_gap =
      request.generated_tokens > 1
          ? (request.last_token_at - request.first_token_at) /
                (request.generated_tokens - 1)
          : 0;
  const bool late = now_ > arrival.time + kDeadlines[arrival.request.tier];
  if (late) {
    result_.wasted_prefill += request.computed_prompt_tokens;
  } else if (IsCounted(arrival)) {
    ++tier.good;
    result_.useful_tokens +=
        arrival.request.prompt_tokens + request.generated_tokens;
    tier.first_token.push_back(
        static_cast<float>(request.first_token_at - arrival.time));
    tier.token_gap.push_back(static_cast<float>(mean_gap));
  }
  scheduler_->OnOutcome(
      Now(), {.permit = flight->second.permit,
              .request = arrival.request.id,
              .upstream = "upstream" + std::to_string(engine),
              .end = PermitEnd::kCompleted,
              .prompt_tokens = arrival.request.prompt_tokens,
              .cached_tokens = request.cached_prompt_tokens,
              .output_tokens = request.generated_tokens,
              .time_to_first_token =
                  ToMicroseconds(request.first_token_at - request.granted_at),
              .total_time =
                  ToMicroseconds(request.last_token_at - request.granted_at)});
  in_flight_.erase(flight);
}

void Simulation::Abort(std::size_t arrival, bool report) {
  const auto flight = in_flight_.find(arrival);
  if (flight == in_flight_.end()) {
    return;
  }
  result_.wasted_prefill += engines_[flight->second.engine].Cancel(arrival);
  if (report) {
    scheduler_->OnOutcome(Now(), {.permit = flight->second.permit,
                                  .request = arrivals_[arrival].request.id,
                                  .end = PermitEnd::kCancelled});
    scheduler_->Advance(Now());
  }
  in_flight_.erase(flight);
}

void Simulation::HandleHostLoss(std::size_t host) {
  lost_host_ = host;
  for (std::size_t it = 0; it < arrivals_.size(); ++it) {
    if (arrivals_[it].host == host) {
      Abort(it, false);
    }
  }
  scheduler_->CancelHostRequests(Now(), "host" + std::to_string(host));
}

}  // namespace flamingogauge::policy
