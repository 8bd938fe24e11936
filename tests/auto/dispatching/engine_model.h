#ifndef FLAMINGOGAUGE_TESTS_AUTO_DISPATCHING_ENGINE_MODEL_H_
#define FLAMINGOGAUGE_TESTS_AUTO_DISPATCHING_ENGINE_MODEL_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <vector>

#include "libs/kernel/time.h"

namespace flamingogauge {

// An engine that runs requests in batches, in virtual time. Each step produces
// one token for each request that decodes and reads one chunk of the first
// prompt in line; both take longer the slower the engine is.
class EngineModel {
 public:
  struct Options {
    int slots = 7;
    // How much longer than normal each step takes.
    double slowness = 1;
  };
  struct Event {
    enum class Kind { kFirst, kEnd, kLost };
    Kind kind = Kind::kFirst;
    std::uint64_t request = 0;
    // Since the request arrived.
    Duration since_arrival{0};
    double prompt_tokens = 0;
    // The mean interval between two events of the stream; for kEnd.
    std::chrono::duration<double> event_interval{0};
  };

  explicit EngineModel(Options options) : options_(options) {}

  void SetSlowness(double slowness) { options_.slowness = slowness; }
  // Loses all requests, and those that arrive from now on if it `goes_down`.
  void Crash(bool goes_down) {
    is_down_ = goes_down;
    crash_ = true;
  }
  void Restart() { is_down_ = false; }

  void Submit(std::uint64_t request,
              double prompt_tokens,
              double output_tokens,
              MonotonicTime now);
  // Advances to `now`; returns what callers see meanwhile.
  std::vector<Event> Advance(MonotonicTime now);

  // Requests that run or wait in it.
  int requests() const { return static_cast<int>(runs_.size()); }

 private:
  struct Run {
    std::uint64_t request = 0;
    double prompt_tokens = 0;
    double prompt_left = 0;
    double output_left = 0;
    double tokens = 0;
    MonotonicTime arrived_at;
    MonotonicTime first_at;
  };

  Duration Step();
  void Finish(std::vector<Event>& events);

  Options options_;
  bool is_down_ = false;
  bool crash_ = false;
  // In order of arrival; the first `slots` of them run.
  std::deque<Run> runs_;
  MonotonicTime busy_until_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_AUTO_DISPATCHING_ENGINE_MODEL_H_
