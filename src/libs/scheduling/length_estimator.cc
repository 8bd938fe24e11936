#include "libs/scheduling/length_estimator.h"

#include <algorithm>
#include <bit>

namespace flamingogauge {
namespace {

constexpr float kSmoothing = 0.15F;

// Assumed while no answer to a prompt of similar length is known, unless an
// eighth of the prompt is more.
constexpr std::uint32_t kUnknownOutput = 64;

// Workspaces beyond this number share the average of all, so that memory is
// bounded at about 5 MB a group; the target is 31,000 workspaces.
constexpr std::size_t kMaxWorkspaces = 40000;

std::size_t ClassOf(std::uint32_t prompt_tokens, std::size_t classes) {
  const auto bits = static_cast<std::size_t>(std::bit_width(prompt_tokens));
  return std::min(bits / 2, classes - 1);
}

void Blend(float& mean, float sample) {
  mean = mean == 0 ? sample : mean + kSmoothing * (sample - mean);
}

std::uint32_t CallerLimit(const PermitRequest& request,
                          std::uint32_t fallback) {
  return request.max_output_tokens > 0 ? request.max_output_tokens : fallback;
}

}  // namespace

std::uint32_t LimitLengths::Estimate(const PermitRequest& request,
                                     std::uint32_t fallback) const {
  return CallerLimit(request, fallback);
}

std::uint32_t LearntLengths::Estimate(const PermitRequest& request,
                                      std::uint32_t fallback) const {
  const std::uint32_t limit = CallerLimit(request, fallback);
  const std::size_t index = ClassOf(request.prompt_tokens, kClasses);
  const auto it = workspaces_.find(request.workspace);
  float mean = it == workspaces_.end() ? 0 : it->second[index];
  if (mean == 0) {
    mean = all_[index];
  }
  if (mean == 0) {
    // Limits are far above usual lengths, so they are no estimate.
    return std::min(limit, std::max(kUnknownOutput, request.prompt_tokens / 8));
  }
  return std::clamp(static_cast<std::uint32_t>(mean), 1U, std::max(1U, limit));
}

void LearntLengths::Learn(const WorkspaceId& workspace,
                          std::uint32_t prompt_tokens,
                          std::uint32_t output_tokens) {
  const std::size_t index = ClassOf(prompt_tokens, kClasses);
  const auto sample = static_cast<float>(std::max(1U, output_tokens));
  Blend(all_[index], sample);
  const auto it = workspaces_.find(workspace);
  if (it != workspaces_.end()) {
    Blend(it->second[index], sample);
  } else if (workspaces_.size() < kMaxWorkspaces) {
    workspaces_[workspace][index] = sample;
  }
}

}  // namespace flamingogauge
