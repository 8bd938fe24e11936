#ifndef FLAMINGOGAUGE_LIBS_SCHEDULING_GROUP_POLICIES_H_
#define FLAMINGOGAUGE_LIBS_SCHEDULING_GROUP_POLICIES_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "libs/scheduling/length_estimator.h"
#include "libs/scheduling/queued_request.h"
#include "libs/scheduling/request_order.h"
#include "libs/scheduling/straggler_detector.h"
#include "libs/scheduling/upstream_state.h"

namespace flamingogauge {

// An upstream that is considered for a request, with the expected times in
// seconds.
struct Candidate {
  std::size_t slot = 0;
  const UpstreamState* upstream = nullptr;
  // The estimates of the upstream itself or, while it has too few samples, of
  // its hardware generation.
  const RateEstimator* rates = nullptr;
  StragglerState straggler = StragglerState::kNormal;
  // Time until the prompts dispatched earlier are prefilled.
  double prefill_backlog = 0;
  // Time to prefill the uncached part of the prompt.
  double prefill = 0;
  // Time to decode the expected output at the resulting batch size.
  double decode = 0;

  double Total() const { return prefill_backlog + prefill + decode; }
};

// Selects the capacity of an upstream that a request may use.
enum class AdmissionScope {
  kAll,
  // Only the capacity reserved for short requests, because a more urgent long
  // request is waiting.
  kReservedOnly,
};

// Decides whether an upstream can accept a request now.
class AdmissionPolicy {
 public:
  virtual ~AdmissionPolicy() = default;
  virtual bool CanAdmit(const Candidate& candidate,
                        const QueuedRequest& request,
                        AdmissionScope scope) const = 0;
  // Returns whether a request that is expected to take `total` seconds should
  // be started with `time_left` seconds left until its deadline.
  virtual bool MeetsDeadline(double total, double time_left) const = 0;
};

// Baseline: checks only the configured concurrency.
class ConcurrencyAdmission : public AdmissionPolicy {
 public:
  bool CanAdmit(const Candidate& candidate,
                const QueuedRequest& request,
                AdmissionScope scope) const override;
  bool MeetsDeadline(double, double) const override { return true; }
};

// Limits each batch by the token memory and by the target time between tokens,
// and reserves a part of it for short requests.
class BudgetAdmission : public AdmissionPolicy {
 public:
  bool CanAdmit(const Candidate& candidate,
                const QueuedRequest& request,
                AdmissionScope scope) const override;
  bool MeetsDeadline(double total, double time_left) const override;
};

// Chooses among the candidates that can accept the request.
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;
  // Returns an index into `candidates`, which is not empty.
  virtual std::size_t Choose(const std::vector<Candidate>& candidates) = 0;
  // Returns whether a long request may wait for a fully occupied upstream that
  // has a much larger part of its prompt cached.
  virtual bool WaitsForCache() const { return false; }
};

// Baseline: cycles through the upstreams.
class RoundRobinPlacement : public PlacementPolicy {
 public:
  std::size_t Choose(const std::vector<Candidate>& candidates) override;

 private:
  std::size_t last_slot_ = 0;
};

// Baseline: chooses the upstream with the fewest requests in flight.
class LeastOutstandingPlacement : public PlacementPolicy {
 public:
  std::size_t Choose(const std::vector<Candidate>& candidates) override;
};

// Chooses the upstream with the lowest weighted sum of prefill backlog,
// uncached prefill and decoding time.
class ScorePlacement : public PlacementPolicy {
 public:
  ScorePlacement(double goodput_weight, double wasted_prefill_weight)
      : goodput_weight_(goodput_weight),
        wasted_prefill_weight_(wasted_prefill_weight) {}
  std::size_t Choose(const std::vector<Candidate>& candidates) override;
  bool WaitsForCache() const override { return wasted_prefill_weight_ > 0; }

 private:
  double goodput_weight_;
  double wasted_prefill_weight_;
};

// Decides whether a waiting request should be shed because it is expected to
// miss its deadline. Times are in seconds.
class ShedPolicy {
 public:
  virtual ~ShedPolicy() = default;
  virtual bool ShouldShed(double expected_wait,
                          double expected_service,
                          double time_left) const = 0;
};

// Baseline: requests wait until their deadline.
class NeverShed : public ShedPolicy {
 public:
  bool ShouldShed(double, double, double) const override { return false; }
};

// Sheds a request whose expected wait and service time exceed the time left by
// the factor kTolerance.
class ExpectedWaitShed : public ShedPolicy {
 public:
  static constexpr double kTolerance = 1.5;
  bool ShouldShed(double expected_wait,
                  double expected_service,
                  double time_left) const override {
    return expected_wait + expected_service > kTolerance * time_left;
  }
};

struct GroupPolicies {
  std::unique_ptr<RequestOrder> order;
  std::unique_ptr<AdmissionPolicy> admission;
  std::unique_ptr<PlacementPolicy> placement;
  std::unique_ptr<LengthEstimator> lengths;
  std::unique_ptr<ShedPolicy> shed;
};

// Returns the production policies with the weights of the configuration.
GroupPolicies DefaultPolicies(const GroupConfig& config);

// Baselines for comparison: one FIFO queue with the named placement, admission
// by configured concurrency, and no shedding.
GroupPolicies RoundRobinPolicies();
GroupPolicies LeastOutstandingPolicies();

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_SCHEDULING_GROUP_POLICIES_H_
