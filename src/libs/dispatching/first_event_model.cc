#include "libs/dispatching/first_event_model.h"

#include <algorithm>

namespace flamingogauge {
namespace {

// The weight of an answer after the next one has come.
constexpr double kRetention = 0.998;
constexpr double kMinWeight = 20;
// Prompts whose lengths differ by less than this share of their mean tell
// nothing about the time that a token takes.
constexpr double kMinSpread = 0.1;
// An answer that takes longer than this many times the expected time counts as
// one that took just so long, so that a failing upstream does not change what
// is expected of others.
constexpr double kMaxOutlier = 4;

}  // namespace

void FirstEventModel::Add(double prompt_tokens, Seconds first_event) {
  double seconds = first_event.count();
  if (const std::optional<Seconds> expected = Expect(prompt_tokens)) {
    seconds = std::min(seconds, expected->count() * kMaxOutlier);
  }
  weight_ = weight_ * kRetention + 1;
  tokens_ = tokens_ * kRetention + prompt_tokens;
  seconds_ = seconds_ * kRetention + seconds;
  tokens_squared_ =
      tokens_squared_ * kRetention + prompt_tokens * prompt_tokens;
  tokens_seconds_ = tokens_seconds_ * kRetention + prompt_tokens * seconds;
}

FirstEventModel::Line FirstEventModel::Fit() const {
  const double mean_tokens = tokens_ / weight_;
  const double mean_seconds = seconds_ / weight_;
  const double variance = tokens_squared_ / weight_ - mean_tokens * mean_tokens;
  const double min_deviation = mean_tokens * kMinSpread;
  if (variance <= min_deviation * min_deviation) {
    return {.base = mean_seconds};
  }
  const double covariance =
      tokens_seconds_ / weight_ - mean_tokens * mean_seconds;
  const double slope = std::max(0.0, covariance / variance);
  return {.base = std::max(0.0, mean_seconds - slope * mean_tokens),
          .slope = slope};
}

std::optional<FirstEventModel::Seconds> FirstEventModel::Expect(
    double prompt_tokens) const {
  if (weight_ < kMinWeight) {
    return std::nullopt;
  }
  const Line line = Fit();
  return Seconds(line.base + line.slope * prompt_tokens);
}

std::optional<FirstEventModel::Seconds> FirstEventModel::TimePerToken() const {
  if (weight_ < kMinWeight) {
    return std::nullopt;
  }
  return Seconds(Fit().slope);
}

}  // namespace flamingogauge
