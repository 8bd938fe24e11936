#ifndef FLAMINGOGAUGE_LIBS_SCHEDULING_STRAGGLER_DETECTOR_H_
#define FLAMINGOGAUGE_LIBS_SCHEDULING_STRAGGLER_DETECTOR_H_

#include <chrono>
#include <cstddef>
#include <vector>

#include "libs/kernel/time.h"

namespace flamingogauge {

enum class StragglerState {
  kNormal,
  kReduced,  // the batch limit is halved
  kStopped,  // no requests until the trial
  kTrial,    // one request at a time
};

// Detects upstreams that have become slow. A sample is the ratio of an observed
// time to the time expected of an upstream of the same hardware. Each upstream
// is compared with the median of the group. At least half of the upstreams stay
// in use.
class StragglerDetector {
 public:
  void Resize(std::size_t upstreams) { upstreams_.resize(upstreams); }
  void Reset(std::size_t upstream) { upstreams_[upstream] = {}; }
  void AddSample(MonotonicTime now, std::size_t upstream, double ratio);
  // Starts the trial of stopped upstreams whose pause has ended.
  void Advance(MonotonicTime now);
  StragglerState state(std::size_t upstream) const {
    return upstreams_[upstream].state;
  }

 private:
  struct Record {
    StragglerState state = StragglerState::kNormal;
    // Exponential averages over about 3 and 50 samples; 0 without samples.
    double recent = 0;
    double history = 0;
    MonotonicTime trial_at;
    std::chrono::milliseconds pause{0};
  };

  double MedianRecent() const;
  bool MayStop() const;
  void UpdateState(MonotonicTime now, Record& record, double sample);

  std::vector<Record> upstreams_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_SCHEDULING_STRAGGLER_DETECTOR_H_
