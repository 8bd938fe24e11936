#ifndef FLAMINGOGAUGE_LIBS_SCHEDULING_LENGTH_ESTIMATOR_H_
#define FLAMINGOGAUGE_LIBS_SCHEDULING_LENGTH_ESTIMATOR_H_

#include <array>
#include <cstdint>
#include <unordered_map>

#include "libs/model/permit.h"

namespace flamingogauge {

// Estimates the number of tokens of an answer before it exists.
class LengthEstimator {
 public:
  virtual ~LengthEstimator() = default;
  // `fallback` is the model's default limit of the output.
  virtual std::uint32_t Estimate(const PermitRequest& request,
                                 std::uint32_t fallback) const = 0;
  virtual void Learn(const WorkspaceId& workspace,
                     std::uint32_t prompt_tokens,
                     std::uint32_t output_tokens) = 0;
};

// The baseline: the caller's limit, or the model's default.
class LimitLengths : public LengthEstimator {
 public:
  std::uint32_t Estimate(const PermitRequest& request,
                         std::uint32_t fallback) const override;
  void Learn(const WorkspaceId&, std::uint32_t, std::uint32_t) override {}
};

// Exponential averages for each workspace and class of prompt length. A group
// has one model, so the averages are by workspace and model.
class LearntLengths : public LengthEstimator {
 public:
  std::uint32_t Estimate(const PermitRequest& request,
                         std::uint32_t fallback) const override;
  void Learn(const WorkspaceId& workspace,
             std::uint32_t prompt_tokens,
             std::uint32_t output_tokens) override;
  std::size_t size() const { return workspaces_.size(); }

 private:
  // Prompt lengths are classed by powers of four.
  static constexpr std::size_t kClasses = 8;
  // Mean output by class; 0 means nothing is known.
  using Means = std::array<float, kClasses>;

  std::unordered_map<WorkspaceId, Means> workspaces_;
  Means all_{};
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_SCHEDULING_LENGTH_ESTIMATOR_H_
