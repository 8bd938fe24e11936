#include "libs/scheduling/straggler_detector.h"

#include <algorithm>

namespace flamingogauge {
namespace {

// Range to which samples are clamped.
constexpr double kMinSample = 0.05;
constexpr double kMaxSample = 50.0;

constexpr double kRecentSmoothing = 0.3;
constexpr double kHistorySmoothing = 0.02;
// Slowdown, compared with the other upstreams and the upstream's own history,
// from which it receives fewer requests and no requests. Normal load varies by
// less than a factor of two.
constexpr double kReduceFactor = 2.0;
constexpr double kStopFactor = 4.0;
constexpr double kRecoveredFactor = 1.5;
constexpr std::chrono::milliseconds kInitialPause{5000};
constexpr std::chrono::milliseconds kMaxPause{40000};

}  // namespace

void StragglerDetector::AddSample(MonotonicTime now,
                                  std::size_t upstream,
                                  double ratio) {
  Record& record = upstreams_[upstream];
  const double sample = std::clamp(ratio, kMinSample, kMaxSample);
  record.recent =
      record.recent == 0
          ? sample
          : record.recent + kRecentSmoothing * (sample - record.recent);
  UpdateState(now, record, sample);
  if (record.state == StragglerState::kNormal) {
    record.history =
        record.history == 0
            ? record.recent
            : record.history + kHistorySmoothing * (sample - record.history);
  }
}

void StragglerDetector::UpdateState(MonotonicTime now,
                                    Record& record,
                                    double sample) {
  const double median = MedianRecent();
  const double baseline =
      record.history == 0
          ? median
          : std::max(median, std::min(record.history, 2 * median));
  if (record.state == StragglerState::kTrial &&
      sample < kRecoveredFactor * baseline) {
    record.state = StragglerState::kNormal;
    record.recent = sample;
    record.pause = {};
    return;
  }
  if (record.state == StragglerState::kStopped) {
    return;
  }
  const double factor = record.recent / std::max(kMinSample, baseline);
  const bool failed_trial =
      record.state == StragglerState::kTrial && factor > kReduceFactor;
  if (failed_trial || (factor > kStopFactor && MayStop())) {
    record.state = StragglerState::kStopped;
    record.pause = record.pause.count() == 0
                       ? kInitialPause
                       : std::min(kMaxPause, record.pause * 2);
    record.trial_at = now + record.pause;
  } else if (record.state != StragglerState::kTrial) {
    record.state = factor > kReduceFactor ? StragglerState::kReduced
                                          : StragglerState::kNormal;
  }
}

void StragglerDetector::Advance(MonotonicTime now) {
  for (Record& it : upstreams_) {
    if (it.state == StragglerState::kStopped && it.trial_at <= now) {
      it.state = StragglerState::kTrial;
    }
  }
}

double StragglerDetector::MedianRecent() const {
  std::vector<double> values;
  for (const Record& it : upstreams_) {
    // An upstream without samples is assumed to be as fast as expected.
    values.push_back(it.recent > 0 ? it.recent : 1);
  }
  if (values.empty()) {
    return 1;
  }
  // The lower median, so that the faster upstream of a group of two is the
  // reference.
  const std::size_t middle = (values.size() - 1) / 2;
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(middle),
                   values.end());
  return values[middle];
}

bool StragglerDetector::MayStop() const {
  const auto stopped = static_cast<std::size_t>(
      std::count_if(upstreams_.begin(), upstreams_.end(), [](const Record& it) {
        return it.state == StragglerState::kStopped ||
               it.state == StragglerState::kTrial;
      }));
  return 2 * (stopped + 1) <= upstreams_.size();
}

}  // namespace flamingogauge
