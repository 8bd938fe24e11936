#include "tests/auto/dispatching/pace_replay.h"

#include <algorithm>
#include <utility>

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kStep{1};
constexpr double kLongPromptShare = 0.4;

}  // namespace

PaceReplay::PaceReplay(PaceReplayOptions options)
    : options_(options),
      random_(options.seed),
      dispatcher_(
          {.data_centre = "z", .seed = options.seed, .pace = options.pace}) {}

void PaceReplay::AddUpstream(const std::string& id,
                             EngineModel::Options engine,
                             std::int64_t start) {
  engines_.emplace(id, EngineModel(engine));
  entries_.push_back({.id = id,
                      .service = "s",
                      .address = id + ":80",
                      .data_centre = "z",
                      .slots = engine.slots,
                      .started_at_ms = start});
  dispatcher_.SetUpstreams(entries_, now_);
}

void PaceReplay::Restart(const std::string& id, std::int64_t start) {
  for (UpstreamEntry& it : entries_) {
    if (it.id == id) {
      it.started_at_ms = start;
    }
  }
  dispatcher_.SetUpstreams(entries_, now_);
}

void PaceReplay::Run(milliseconds time) {
  for (const MonotonicTime end = now_ + time; now_ < end;) {
    Step();
  }
}

milliseconds PaceReplay::RunUntilRunning(const std::string& id,
                                         int requests,
                                         milliseconds limit) {
  const MonotonicTime start = now_;
  while (now_ - start < limit && engines_.at(id).requests() < requests) {
    Step();
  }
  return std::chrono::duration_cast<milliseconds>(now_ - start);
}

void PaceReplay::Step() {
  now_ += kStep;
  for (auto& [id, engine] : engines_) {
    for (const EngineModel::Event& it : engine.Advance(now_)) {
      Apply(id, it);
    }
  }
  Arrive();
  for (const Placement& it : dispatcher_.Place(now_)) {
    const WaitingRequest request = waiting_.at(it.request);
    waiting_.erase(it.request);
    due_at_[it.request] = request.due_at;
    EngineModel& engine = engines_.at(it.upstream.id);
    engine.Submit(it.request, request.prompt_tokens, options_.output_tokens,
                  now_);
    UpstreamOutcome& outcome = outcomes_[it.upstream.id];
    ++outcome.sent;
    if (outcome.answers() == 0) {
      outcome.most_before_answer =
          std::max(outcome.most_before_answer, engine.requests());
    }
  }
  for (const Rejection& it : dispatcher_.Reject(now_)) {
    waiting_.erase(it.request);
  }
}

void PaceReplay::Arrive() {
  if (!random_.NextBool(options_.rate *
                        std::chrono::duration<double>(kStep).count())) {
    return;
  }
  const std::uint64_t id = ++last_id_;
  WaitingRequest request{.id = id,
                         .service = "s",
                         .arrived_at = now_,
                         .due_at = now_ + options_.target,
                         .start_by = now_ + options_.target * 4,
                         .deadline = now_ + seconds(12),
                         .prompt_tokens = random_.NextBool(kLongPromptShare)
                                              ? options_.long_prompt_tokens
                                              : options_.short_prompt_tokens,
                         .expected_output_tokens = options_.output_tokens};
  waiting_[id] = request;
  dispatcher_.Enqueue(std::move(request));
}

void PaceReplay::Apply(const std::string& id, const EngineModel::Event& event) {
  UpstreamOutcome& outcome = outcomes_[id];
  if (event.kind == EngineModel::Event::Kind::kLost) {
    ++outcome.lost;
    due_at_.erase(event.request);
    dispatcher_.OnEnded(id, DispatchResult::kTransportError, now_);
    return;
  }
  if (event.kind == EngineModel::Event::Kind::kFirst) {
    ++(now_ <= due_at_.at(event.request) ? outcome.on_time : outcome.late);
    due_at_.erase(event.request);
    dispatcher_.OnFirstEvent(PeerUpstreamKey(id), event.since_arrival,
                             event.prompt_tokens, now_);
    return;
  }
  const bool fails = random_.NextBool(failure_shares_[id]);
  if (!fails) {
    dispatcher_.OnEventInterval(id, event.event_interval);
  }
  dispatcher_.OnEnded(
      id, fails ? DispatchResult::kFailed : DispatchResult::kServed, now_);
}

}  // namespace flamingogauge
