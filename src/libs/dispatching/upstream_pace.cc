#include "libs/dispatching/upstream_pace.h"

#include <algorithm>
#include <chrono>

namespace flamingogauge {
namespace {

// An upstream that nobody has used for this long after its start is no longer
// one that has just started.
constexpr std::chrono::seconds kStartTime{3};
// A pace that is not used is not confirmed by good answers.
constexpr double kUsedShare = 0.5;
constexpr double kMinRequests = 1;
// What a good answer adds to a pace that no longer doubles. Streams last for
// seconds, so that an upstream gives few answers in that time.
constexpr double kGrowth = 0.5;
// Single late answers are usual where the work of requests differs.
constexpr double kLateWeight = 0.25;
constexpr double kMaxLateShare = 0.5;
// Refusals and failures of one moment count once.
constexpr std::chrono::milliseconds kRefusalRound{200};

}  // namespace

std::string_view ToString(PaceCause cause) {
  switch (cause) {
    case PaceCause::kListed:
      return "listed";
    case PaceCause::kStarted:
      return "started";
    case PaceCause::kOnTime:
      return "answers on time";
    case PaceCause::kLate:
      return "a late answer";
    case PaceCause::kRefused:
      return "refused for lack of room";
    case PaceCause::kFailed:
      return "failures";
    case PaceCause::kConnectionLost:
      return "a lost connection";
    case PaceCause::kReported:
      return "reported by a coordinator";
  }
  return "";
}

void UpstreamPace::SetSlots(int slots) {
  if (slots == slots_) {
    return;
  }
  // A pace of all slots was not held back by answers.
  requests_ = requests_ >= slots_
                  ? slots
                  : std::min(requests_, static_cast<double>(slots));
  slots_ = slots;
}

void UpstreamPace::OnStarted(MonotonicTime now) {
  if (!is_learning()) {
    return;
  }
  doubles_ = true;
  started_at_ = now;
  learned_at_.reset();
  reduced_at_.reset();
  Set(options_.start_requests, PaceCause::kStarted, now);
}

void UpstreamPace::OnAnswer(bool is_on_time,
                            Duration took,
                            int running,
                            MonotonicTime now) {
  learned_at_ = now;
  started_at_.reset();
  late_share_ =
      late_share_ * (1 - kLateWeight) + (is_on_time ? 0.0 : kLateWeight);
  if (!is_on_time && late_share_ > kMaxLateShare) {
    Halve(PaceCause::kLate, now - took, now);
    return;
  }
  if (!is_on_time || running < requests_ * kUsedShare) {
    return;
  }
  Set(requests_ + (doubles_ ? 1.0 : kGrowth), PaceCause::kOnTime, now);
  doubles_ = doubles_ && requests_ < slots_;
}

void UpstreamPace::OnRefused(MonotonicTime now) {
  learned_at_ = now;
  Halve(PaceCause::kRefused, now - kRefusalRound, now);
}

void UpstreamPace::OnFailing(MonotonicTime now) {
  learned_at_ = now;
  Halve(PaceCause::kFailed, now - kRefusalRound, now);
}

void UpstreamPace::OnConnectionLost(MonotonicTime now) {
  learned_at_ = now;
  reduced_at_ = now;
  started_at_.reset();
  is_broken_ = true;
  doubles_ = true;
  Set(kMinRequests, PaceCause::kConnectionLost, now);
}

void UpstreamPace::OnRecovered(int running, MonotonicTime now) {
  is_broken_ = false;
  // The requests that go on there show that its process did not end.
  if (running > requests_) {
    Set(running, PaceCause::kOnTime, now);
  }
}

void UpstreamPace::OnReport(double requests,
                            MonotonicTime learned_at,
                            MonotonicTime now) {
  if (learned_at_ && *learned_at_ >= learned_at) {
    return;
  }
  learned_at_ = learned_at;
  started_at_.reset();
  Set(requests, PaceCause::kReported, now);
  doubles_ = doubles_ && requests_ < slots_;
}

int UpstreamPace::Limit(MonotonicTime now) const {
  if (!is_learning()) {
    return is_broken_ ? std::min(1, slots_) : slots_;
  }
  if (started_at_ && now - *started_at_ > kStartTime) {
    return slots_;
  }
  return std::min(slots_, std::max(1, static_cast<int>(requests_)));
}

void UpstreamPace::Set(double requests, PaceCause cause, MonotonicTime now) {
  const double bounded =
      std::clamp(requests, kMinRequests,
                 std::max(kMinRequests, static_cast<double>(slots_)));
  if (static_cast<int>(bounded) != static_cast<int>(requests_)) {
    changed_at_ = now;
    cause_ = cause;
  }
  requests_ = bounded;
}

void UpstreamPace::Halve(PaceCause cause,
                         MonotonicTime sent_at,
                         MonotonicTime now) {
  if (reduced_at_ && sent_at < *reduced_at_) {
    return;
  }
  reduced_at_ = now;
  doubles_ = false;
  Set(requests_ / 2, cause, now);
}

}  // namespace flamingogauge
