#ifndef FLAMINGOGAUGE_LIBS_SCHEDULING_RATE_ESTIMATOR_H_
#define FLAMINGOGAUGE_LIBS_SCHEDULING_RATE_ESTIMATOR_H_

#include <cstdint>

namespace flamingogauge {

// Estimates the prefill and decoding speed of an upstream from its completed
// requests. The time between tokens (gap) is modelled as linear in the batch
// size and fitted by least squares with exponential forgetting.
class RateEstimator {
 public:
  RateEstimator();

  // Updates the prefill rate. `predicted` is the time to first token that was
  // computed from this estimator; both times are in seconds.
  void LearnFirstToken(double predicted, double observed);

  // `gap` is the mean time between tokens, in seconds; `batch` is the mean
  // batch size during the request.
  void LearnGap(double batch, double gap);

  // Returns the prefilled tokens per second.
  double prefill_rate() const { return prefill_rate_; }

  // Returns the expected seconds between tokens at a batch size.
  double Gap(double batch) const;

  // Returns the largest batch size, at least 1, at which the gap does not
  // exceed `limit` seconds.
  double BatchWithin(double limit) const;

  std::uint32_t samples() const { return samples_; }

 private:
  double prefill_rate_;
  double weight_ = 0;
  double sum_x_ = 0;
  double sum_y_ = 0;
  double sum_xx_ = 0;
  double sum_xy_ = 0;
  double intercept_ = 0;
  double slope_ = 0;
  std::uint32_t samples_ = 0;

  void Add(double batch, double gap, double weight);
  void Fit();
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_SCHEDULING_RATE_ESTIMATOR_H_
