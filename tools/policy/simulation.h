#ifndef FLAMINGOGAUGE_TOOLS_POLICY_SIMULATION_H_
#define FLAMINGOGAUGE_TOOLS_POLICY_SIMULATION_H_

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <queue>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "libs/kernel/random.h"
#include "libs/scheduling/group_scheduler.h"
#include "policy/engine_model.h"
#include "policy/workload.h"

namespace flamingogauge::policy {

// kOracle is the default policy with exact output lengths and without delay or
// loss of load reports and cache events.
enum class PolicyKind { kDefault, kRoundRobin, kLeastOutstanding, kOracle };

struct RunOptions {
  Deployment deployment;
  PolicyKind policy = PolicyKind::kDefault;
  double load = 1;
  std::uint64_t seed = 1;
  bool with_straggler = true;
  bool with_leaving = true;
  bool with_lost_host = true;
};

struct TierResult {
  std::uint64_t offered = 0;
  std::uint64_t good = 0;
  std::uint64_t shed = 0;
  // Time to first token and mean time between tokens per request, in seconds.
  std::vector<float> first_token;
  std::vector<float> token_gap;
};

struct RunResult {
  std::array<TierResult, kMaxTiers> tiers;
  std::uint64_t wasted_prefill = 0;
  std::uint64_t useful_tokens = 0;
};

// Discrete-event simulation that connects generated arrivals and engine models
// to the production GroupScheduler. Deterministic for given options.
class Simulation {
 public:
  explicit Simulation(RunOptions options);
  RunResult Run();

 private:
  enum class Kind {
    kArrival,
    kStep,
    kTick,
    kDeadline,
    kLoad,
    kRenew,
    kStragglerStart,
    kStragglerEnd,
    kUpstreamLeaving,
    kHostLost
  };
  struct Event {
    double time;
    std::uint64_t order;
    Kind kind;
    std::size_t index;
    bool operator>(const Event& other) const {
      return std::tie(time, order) > std::tie(other.time, other.order);
    }
  };
  struct InFlightRequest {
    PermitId permit;
    std::size_t engine;
  };

  void ScheduleEvent(double time, Kind kind, std::size_t index);
  void Handle(const Event& event);
  void ApplyActions();
  void StepEngine(std::size_t index);
  void Complete(std::size_t engine, const EngineRequest& request);
  // Cancels the request if it is in flight. Reports the outcome to the
  // scheduler if `report` is true.
  void Abort(std::size_t arrival, bool report);
  void HandleHostLoss(std::size_t host);
  MonotonicTime Now() const;
  bool IsCounted(const Arrival& arrival) const;

  RunOptions options_;
  Random random_;
  std::vector<Arrival> arrivals_;
  std::vector<EngineModel> engines_;
  std::unordered_set<std::uint64_t> known_blocks_;
  GroupConfig config_;
  std::unique_ptr<GroupScheduler> scheduler_;
  std::unordered_map<std::size_t, InFlightRequest> in_flight_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::deque<LoadReport> reports_;
  std::deque<CacheEvent> cache_events_;
  double now_ = 0;
  std::uint64_t next_event_order_ = 0;
  std::size_t lost_host_ = kHosts;
  RunResult result_;
};

}  // namespace flamingogauge::policy

#endif  // FLAMINGOGAUGE_TOOLS_POLICY_SIMULATION_H_
