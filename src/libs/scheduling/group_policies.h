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

// One upstream as a candidate for one request. Times are in seconds.
struct Candidate {
  std::size_t slot = 0;
  const UpstreamState* upstream = nullptr;
  // The estimates in use: the upstream's own, or its generation's.
  const RateEstimator* rates = nullptr;
  StragglerState straggler = StragglerState::kNormal;
  // Until its earlier prompts are computed.
  double prefill_backlog = 0;
  // To compute the part of the prompt that is not cached.
  double prefill = 0;
  // To produce the expected output at the resulting batch.
  double decode = 0;

  double Total() const { return prefill_backlog + prefill + decode; }
};

// Which part of an upstream a request may use.
enum class Room {
  kAll,
  // A more urgent long request waits; only room reserved for short ones.
  kReservedOnly,
};

// Decides whether an upstream can take a request now.
class AdmissionPolicy {
 public:
  virtual ~AdmissionPolicy() = default;
  virtual bool HasRoom(const Candidate& candidate,
                       const QueuedRequest& request,
                       Room room) const = 0;
  // Whether a request that is expected to take `total` seconds is worth
  // starting with `time_left` seconds left.
  virtual bool IsInTime(double total, double time_left) const = 0;
};

// The baseline: the configured concurrency only.
class ConcurrencyAdmission : public AdmissionPolicy {
 public:
  bool HasRoom(const Candidate& candidate,
               const QueuedRequest& request,
               Room room) const override;
  bool IsInTime(double, double) const override { return true; }
};

// Keeps each batch within token memory and within the time between tokens, and
// keeps a part of it free of long requests.
class BudgetAdmission : public AdmissionPolicy {
 public:
  bool HasRoom(const Candidate& candidate,
               const QueuedRequest& request,
               Room room) const override;
  bool IsInTime(double total, double time_left) const override;
};

// Chooses among the candidates that have room.
class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;
  // Returns an index into `candidates`, which is not empty.
  virtual std::size_t Choose(const std::vector<Candidate>& candidates) = 0;
  // Whether a long request may wait for an upstream without room that has much
  // more of its prompt cached.
  virtual bool WaitsForCache() const { return false; }
};

// Baselines.
class RoundRobinPlacement : public PlacementPolicy {
 public:
  std::size_t Choose(const std::vector<Candidate>& candidates) override;

 private:
  std::size_t last_slot_ = 0;
};

class LeastOutstandingPlacement : public PlacementPolicy {
 public:
  std::size_t Choose(const std::vector<Candidate>& candidates) override;
};

// The least weighted sum of waiting, prefill that is not cached, and decoding.
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

// Decides whether waiting is pointless. Times in seconds.
class ShedPolicy {
 public:
  virtual ~ShedPolicy() = default;
  virtual bool ShouldShed(double expected_wait,
                          double expected_service,
                          double time_left) const = 0;
};

// The baseline: requests wait until their deadline.
class NeverShed : public ShedPolicy {
 public:
  bool ShouldShed(double, double, double) const override { return false; }
};

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

// The product's policies, weighted as the document says.
GroupPolicies DefaultPolicies(const GroupConfig& config);

// One FIFO queue with the named placement, and nothing else.
GroupPolicies RoundRobinPolicies();
GroupPolicies LeastOutstandingPolicies();

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_SCHEDULING_GROUP_POLICIES_H_
