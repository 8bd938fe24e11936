#include "libs/scheduling/rate_estimator.h"

#include <algorithm>
#include <cmath>

namespace flamingogauge {
namespace {

// Initial estimates for unknown hardware: prefilled tokens per second, and the
// gap in seconds at batch sizes of 1 and 32.
constexpr double kInitialPrefillRate = 6000;
constexpr double kInitialGapSingle = 0.02;
constexpr double kInitialGapBatch = 0.045;
constexpr double kInitialBatch = 32;
constexpr double kInitialWeight = 2;

// Decay of the weights for each new sample. It halves the weight of a sample
// after about 70 further ones.
constexpr double kForgettingFactor = 0.99;
constexpr double kPrefillSmoothing = 0.1;

// Limits of a single correction factor of the prefill rate, and of the rate in
// tokens per second.
constexpr double kMinCorrection = 0.25;
constexpr double kMaxCorrection = 4.0;
constexpr double kMinPrefillRate = 50.0;
constexpr double kMaxPrefillRate = 1e6;

// Lower limit of the expected time between tokens.
constexpr double kMinGapSeconds = 0.0005;

// Batch size that stands for no limit.
constexpr double kUnlimitedBatch = 1e6;

// Ridge term of the regression, in squared units of the batch size.
constexpr double kRidge = 0.5;

}  // namespace

RateEstimator::RateEstimator() : prefill_rate_(kInitialPrefillRate) {
  Add(1, kInitialGapSingle, kInitialWeight);
  Add(kInitialBatch, kInitialGapBatch, kInitialWeight);
  Fit();
}

void RateEstimator::LearnFirstToken(double predicted, double observed) {
  if (predicted <= 0 || observed <= 0) {
    return;
  }
  const double ratio =
      std::clamp(predicted / observed, kMinCorrection, kMaxCorrection);
  prefill_rate_ *= std::pow(ratio, kPrefillSmoothing);
  prefill_rate_ = std::clamp(prefill_rate_, kMinPrefillRate, kMaxPrefillRate);
}

void RateEstimator::LearnGap(double batch, double gap) {
  weight_ *= kForgettingFactor;
  sum_x_ *= kForgettingFactor;
  sum_y_ *= kForgettingFactor;
  sum_xx_ *= kForgettingFactor;
  sum_xy_ *= kForgettingFactor;
  Add(batch, gap, 1);
  Fit();
  ++samples_;
}

double RateEstimator::Gap(double batch) const {
  return std::max(kMinGapSeconds, intercept_ + slope_ * batch);
}

double RateEstimator::BatchWithin(double limit) const {
  if (slope_ <= 0) {
    return intercept_ <= limit ? kUnlimitedBatch : 1;
  }
  return std::max(1.0, (limit - intercept_) / slope_);
}

void RateEstimator::Add(double batch, double gap, double weight) {
  weight_ += weight;
  sum_x_ += weight * batch;
  sum_y_ += weight * gap;
  sum_xx_ += weight * batch * batch;
  sum_xy_ += weight * batch * gap;
}

void RateEstimator::Fit() {
  const double mean_x = sum_x_ / weight_;
  const double mean_y = sum_y_ / weight_;
  const double variance = sum_xx_ / weight_ - mean_x * mean_x;
  const double covariance = sum_xy_ / weight_ - mean_x * mean_y;
  // The ridge term keeps the slope finite if all samples have the same batch
  // size. The slope is not negative because a larger batch never makes a
  // decoding step faster.
  slope_ = std::max(0.0, covariance / (variance + kRidge));
  intercept_ = mean_y - slope_ * mean_x;
}

}  // namespace flamingogauge
