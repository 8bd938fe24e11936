#include "libs/scheduling/length_estimator.h"

#include <algorithm>
#include <bit>

namespace flamingogauge {
namespace {

constexpr float kSmoothing = 0.15F;

// Minimum estimate without samples for the class of prompt length; an eighth of
// the prompt is used if that is more.
constexpr std::uint32_t kMinUnknownOutput = 64;

// Workspaces beyond this number use the overall average, which limits memory to
// about 5 MB per group. The design target is 31,000 workspaces.
constexpr std::size_t kMaxWorkspaces = 40000;

std::size_t LengthClass(std::uint32_t prompt_tokens, std::size_t classes) {
  const auto bits = static_cast<std::size_t>(std::bit_width(prompt_tokens));
  return std::min(bits / 2, classes - 1);
}

void UpdateAverage(float& mean, float sample) {
  mean = mean == 0 ? sample : mean + kSmoothing * (sample - mean);
}

std::uint32_t CallerLimit(const PermitRequest& request,
                          std::uint32_t fallback) {
  return request.max_output_tokens > 0 ? request.max_output_tokens : fallback;
}

}  // namespace

std::uint32_t LimitLengthEstimator::Estimate(const PermitRequest& request,
                                             std::uint32_t fallback) const {
  return CallerLimit(request, fallback);
}

std::uint32_t LearnedLengthEstimator::Estimate(const PermitRequest& request,
                                               std::uint32_t fallback) const {
  const std::uint32_t limit = CallerLimit(request, fallback);
  const std::size_t index = LengthClass(request.prompt_tokens, kClasses);
  const auto it = workspaces_.find(request.workspace);
  float mean = it == workspaces_.end() ? 0 : it->second[index];
  if (mean == 0) {
    mean = overall_[index];
  }
  if (mean == 0) {
    // Limits far exceed the usual output, so they are no useful estimate.
    return std::min(limit,
                    std::max(kMinUnknownOutput, request.prompt_tokens / 8));
  }
  return std::clamp(static_cast<std::uint32_t>(mean), 1U, std::max(1U, limit));
}

void LearnedLengthEstimator::Learn(const WorkspaceId& workspace,
                                   std::uint32_t prompt_tokens,
                                   std::uint32_t output_tokens) {
  const std::size_t index = LengthClass(prompt_tokens, kClasses);
  const auto sample = static_cast<float>(std::max(1U, output_tokens));
  UpdateAverage(overall_[index], sample);
  const auto it = workspaces_.find(workspace);
  if (it != workspaces_.end()) {
    UpdateAverage(it->second[index], sample);
  } else if (workspaces_.size() < kMaxWorkspaces) {
    workspaces_[workspace][index] = sample;
  }
}

}  // namespace flamingogauge
