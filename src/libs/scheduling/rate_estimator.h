#ifndef FLAMINGOGAUGE_LIBS_SCHEDULING_RATE_ESTIMATOR_H_
#define FLAMINGOGAUGE_LIBS_SCHEDULING_RATE_ESTIMATOR_H_

#include <cstdint>

namespace flamingogauge {

// Learns how fast an upstream computes, from the requests it completed. The
// time between tokens is modelled as linear in the batch size and fitted by
// least squares with exponential forgetting.
class RateEstimator {
 public:
  RateEstimator();

  // `predicted` is the first-token time, in seconds, that this estimator gave.
  void LearnFirstToken(double predicted, double observed);

  // `gap` is the mean time between tokens, in seconds, at a mean batch size.
  void LearnGap(double batch, double gap);

  // Tokens a second while computing a prompt.
  double prefill_rate() const { return prefill_rate_; }

  // Seconds between tokens at a batch size.
  double Gap(double batch) const;

  // The largest batch at which the gap stays within `limit` seconds, at
  // least 1.
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
