#include "tests/auto/dispatching/engine_model.h"

#include <algorithm>

namespace flamingogauge {
namespace {

using Seconds = std::chrono::duration<double>;

constexpr Seconds kStepTime{0.0035};
constexpr Seconds kStepTimePerRequest{0.0001};
constexpr double kChunkTokens = 1024;
constexpr double kPromptTokensPerSecond = 110000;
constexpr double kTokensPerEvent = 9;

}  // namespace

void EngineModel::Submit(std::uint64_t request,
                         double prompt_tokens,
                         double output_tokens,
                         MonotonicTime now) {
  runs_.push_back({.request = request,
                   .prompt_tokens = prompt_tokens,
                   .prompt_left = prompt_tokens,
                   .output_left = output_tokens,
                   .arrived_at = now});
  busy_until_ = std::max(busy_until_, now);
}

// Produces one token for each request that decodes and reads one chunk; returns
// how long that takes.
Duration EngineModel::Step() {
  Seconds time = kStepTime;
  bool is_reading = false;
  const auto running = std::min<std::size_t>(
      runs_.size(), static_cast<std::size_t>(options_.slots));
  for (std::size_t n = 0; n < running; ++n) {
    Run& run = runs_[n];
    time += kStepTimePerRequest;
    if (run.prompt_left <= 0) {
      ++run.tokens;
      --run.output_left;
    } else if (!is_reading) {
      is_reading = true;
      const double chunk = std::min(run.prompt_left, kChunkTokens);
      run.prompt_left -= chunk;
      time += Seconds(chunk / kPromptTokensPerSecond);
    }
  }
  return std::chrono::duration_cast<Duration>(time * options_.slowness);
}

void EngineModel::Finish(std::vector<Event>& events) {
  for (Run& it : runs_) {
    if (it.tokens >= kTokensPerEvent && it.first_at == MonotonicTime()) {
      it.first_at = busy_until_;
      events.push_back({.kind = Event::Kind::kFirst,
                        .request = it.request,
                        .since_arrival = busy_until_ - it.arrived_at,
                        .prompt_tokens = it.prompt_tokens});
    }
    if (it.tokens > 0 && it.output_left <= 0) {
      const double later_events =
          std::max(1.0, it.tokens / kTokensPerEvent - 1);
      events.push_back({.kind = Event::Kind::kEnd,
                        .request = it.request,
                        .since_arrival = busy_until_ - it.arrived_at,
                        .prompt_tokens = it.prompt_tokens,
                        .event_interval =
                            Seconds(busy_until_ - it.first_at) / later_events});
    }
  }
  std::erase_if(runs_, [](const Run& it) {
    return it.tokens > 0 && it.output_left <= 0;
  });
}

std::vector<EngineModel::Event> EngineModel::Advance(MonotonicTime now) {
  std::vector<Event> events;
  if (crash_ || is_down_) {
    for (const Run& it : runs_) {
      events.push_back({.kind = Event::Kind::kLost,
                        .request = it.request,
                        .since_arrival = now - it.arrived_at});
    }
    runs_.clear();
    crash_ = false;
    return events;
  }
  while (!runs_.empty()) {
    const std::deque<Run> before = runs_;
    const Duration time = Step();
    if (busy_until_ + time > now) {
      runs_ = before;
      break;
    }
    busy_until_ += time;
    Finish(events);
  }
  return events;
}

}  // namespace flamingogauge
