#ifndef FLAMINGOGAUGE_TESTS_AUTO_DISPATCHING_PACE_REPLAY_H_
#define FLAMINGOGAUGE_TESTS_AUTO_DISPATCHING_PACE_REPLAY_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libs/dispatching/dispatcher.h"
#include "libs/kernel/random.h"
#include "tests/auto/dispatching/engine_model.h"

namespace flamingogauge {

struct PaceReplayOptions {
  UpstreamPaceOptions pace;
  std::uint64_t seed = 1;
  // Requests per second. Two of five have long prompts.
  double rate = 40;
  double long_prompt_tokens = 6600;
  double short_prompt_tokens = 600;
  double output_tokens = 300;
  // The first event is due after this time.
  std::chrono::milliseconds target{600};
};

// What the callers of one upstream have seen.
struct UpstreamOutcome {
  int sent = 0;
  int on_time = 0;
  int late = 0;
  int lost = 0;
  // The largest number of requests in it before its first answer.
  int most_before_answer = 0;
  int answers() const { return on_time + late; }
  double LateShare() const {
    return answers() == 0 ? 0 : static_cast<double>(late) / answers();
  }
};

// A dispatcher with engines under a steady load, in virtual time.
class PaceReplay {
 public:
  explicit PaceReplay(PaceReplayOptions options);

  // Lists an upstream. Its process is `start`.
  void AddUpstream(const std::string& id,
                   EngineModel::Options engine,
                   std::int64_t start = 1);
  // The upstream has a new process.
  void Restart(const std::string& id, std::int64_t start);
  EngineModel& engine(const std::string& id) { return engines_.at(id); }
  // The share of its requests that it fails, from now on.
  void SetFailureShare(const std::string& id, double share) {
    failure_shares_[id] = share;
  }
  void SetRate(double rate) { options_.rate = rate; }
  // Forgets what callers have seen so far.
  void ResetOutcomes() { outcomes_.clear(); }

  void Run(std::chrono::milliseconds time);
  // Runs until the upstream has `requests`, or for `limit`; returns how long.
  std::chrono::milliseconds RunUntilRunning(const std::string& id,
                                            int requests,
                                            std::chrono::milliseconds limit);

  const UpstreamOutcome& outcome(const std::string& id) {
    return outcomes_[id];
  }
  const UpstreamView& view(const std::string& id) const {
    return dispatcher_.upstreams().at(id);
  }
  MonotonicTime now() const { return now_; }

 private:
  void Step();
  void Arrive();
  void Apply(const std::string& id, const EngineModel::Event& event);

  PaceReplayOptions options_;
  Random random_;
  Dispatcher dispatcher_;
  MonotonicTime now_{std::chrono::hours(1)};
  std::vector<UpstreamEntry> entries_;
  std::map<std::string, EngineModel> engines_;
  std::map<std::string, double> failure_shares_;
  std::map<std::string, UpstreamOutcome> outcomes_;
  std::map<std::uint64_t, WaitingRequest> waiting_;
  // When the requests that were sent are due.
  std::map<std::uint64_t, MonotonicTime> due_at_;
  std::uint64_t last_id_ = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_AUTO_DISPATCHING_PACE_REPLAY_H_
