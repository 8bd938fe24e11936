#ifndef FLAMINGOGAUGE_LIBS_SCHEDULING_LENGTH_ESTIMATOR_H_
#define FLAMINGOGAUGE_LIBS_SCHEDULING_LENGTH_ESTIMATOR_H_

#include <array>
#include <cstdint>
#include <unordered_map>

#include "libs/model/permit.h"

namespace flamingogauge {

// Estimates the number of output tokens of a request.
class LengthEstimator {
 public:
  virtual ~LengthEstimator() = default;
  // `fallback` is the default output limit of the model.
  virtual std::uint32_t Estimate(const PermitRequest& request,
                                 std::uint32_t fallback) const = 0;
  virtual void Learn(const WorkspaceId& workspace,
                     std::uint32_t prompt_tokens,
                     std::uint32_t output_tokens) = 0;
};

// Baseline: assumes that each output reaches the limit set by the caller or, by
// default, by the model.
class LimitLengthEstimator : public LengthEstimator {
 public:
  std::uint32_t Estimate(const PermitRequest& request,
                         std::uint32_t fallback) const override;
  void Learn(const WorkspaceId&, std::uint32_t, std::uint32_t) override {}
};

// Keeps exponential averages by workspace and class of prompt length. A group
// serves one model, so the averages are specific to it.
class LearnedLengthEstimator : public LengthEstimator {
 public:
  std::uint32_t Estimate(const PermitRequest& request,
                         std::uint32_t fallback) const override;
  void Learn(const WorkspaceId& workspace,
             std::uint32_t prompt_tokens,
             std::uint32_t output_tokens) override;
  std::size_t size() const { return workspaces_.size(); }

 private:
  // The class limits of prompt lengths are powers of four.
  static constexpr std::size_t kClasses = 8;
  // Mean output tokens by class; 0 without samples.
  using Means = std::array<float, kClasses>;

  std::unordered_map<WorkspaceId, Means> workspaces_;
  Means overall_{};
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_SCHEDULING_LENGTH_ESTIMATOR_H_
