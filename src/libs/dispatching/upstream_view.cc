#include "libs/dispatching/upstream_view.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Weight of the newest sample in the moving averages.
constexpr double kFailureWeight = 0.2;
constexpr double kEventIntervalWeight = 0.2;
constexpr double kStartRatioWeight = 0.2;
constexpr double kMostRequests = 0.5;
// Time constant of the exponential decay of the failure share without requests,
// so that an upstream that has recovered is tried again.
constexpr double kFailureDecaySeconds = 3.0;
// The time until the reports of other data centres show a request.
constexpr double kReportSeconds = 0.06;
constexpr milliseconds kInitialSuspicion{500};
constexpr milliseconds kMaxSuspicion{4000};
// Prompt parts older than this may have been evicted from the upstream's cache.
constexpr seconds kPartLifetime{20};
constexpr std::size_t kMaxParts = 512;

}  // namespace

void UpstreamView::SetEntry(UpstreamEntry entry) {
  entry_ = std::move(entry);
  pace_.SetSlots(entry_.slots);
}

int UpstreamView::Limit(MonotonicTime now) const {
  return replaced_ || leaving_ ? 0 : pace_.Limit(now);
}

int UpstreamView::Places(MonotonicTime now) const {
  if (!rate_limit_.requests_per_second()) {
    return Limit(now);
  }
  const int next = rate_limit_.AdmitsRequest(now) ? 1 : 0;
  return std::min(Limit(now), running() + next);
}

std::optional<PaceChange> UpstreamView::TakePaceChange() {
  const int pace = static_cast<int>(pace_.requests());
  if (pace == noted_pace_) {
    return std::nullopt;
  }
  return PaceChange{.upstream = entry_.id,
                    .from = std::exchange(noted_pace_, pace),
                    .to = pace,
                    .slots = entry_.slots,
                    .cause = pace_.cause()};
}

void UpstreamView::OnAnswer(bool is_on_time,
                            Duration took,
                            double ratio,
                            MonotonicTime now) {
  start_ratio_ = has_start_ratio_ ? start_ratio_ * (1 - kStartRatioWeight) +
                                        ratio * kStartRatioWeight
                                  : ratio;
  has_start_ratio_ = true;
  // An answer that began before its connection was lost proves nothing.
  if (!IsSuspect(now)) {
    pace_.OnAnswer(is_on_time, took, running(), now);
  }
}

void UpstreamView::OnPaceReport(double requests,
                                MonotonicTime learned_at,
                                MonotonicTime now) {
  if (!IsSuspect(now)) {
    pace_.OnReport(requests, learned_at, now);
  }
}

void UpstreamView::OnSent(const WaitingRequest& request, MonotonicTime now) {
  recent_sends_ = RecentSends(now) + 1;
  last_sent_at_ = now;
  ++own_running_;
  rate_limit_.OnSent(now);
  for (const PromptPart& it : request.prompt_parts) {
    parts_seen_[it.id] = now;
  }
  if (parts_seen_.size() > kMaxParts) {
    RemoveOldParts(now);
  }
}

double UpstreamView::RecentSends(MonotonicTime now) const {
  if (recent_sends_ == 0) {
    return 0;
  }
  const std::chrono::duration<double> age = now - last_sent_at_;
  return recent_sends_ * std::exp(-age.count() / kReportSeconds);
}

HealthChange UpstreamView::OnEnded(DispatchResult result, MonotonicTime now) {
  Release();
  return RecordResult(result, now);
}

void UpstreamView::Release() {
  own_running_ = std::max(0, own_running_ - 1);
  // Its place is free for another request of this host.
  recent_sends_ = std::max(0.0, recent_sends_ - 1);
}

HealthChange UpstreamView::RecordResult(DispatchResult result,
                                        MonotonicTime now) {
  if (result == DispatchResult::kRefused) {
    pace_.OnRefused(now);
    return HealthChange::kNone;
  }
  if (result == DispatchResult::kAbandoned) {
    return HealthChange::kNone;
  }
  if (result == DispatchResult::kLeaving) {
    return std::exchange(leaving_, true) ? HealthChange::kNone
                                         : HealthChange::kLeaving;
  }
  if (result == DispatchResult::kReplaced) {
    return std::exchange(replaced_, true) ? HealthChange::kNone
                                          : HealthChange::kReplaced;
  }
  const bool failed = result != DispatchResult::kServed;
  failure_share_ = FailureShare(now) * (1 - kFailureWeight) +
                   (failed ? kFailureWeight : 0.0);
  failure_updated_ = now;
  if (result != DispatchResult::kTransportError) {
    suspect_until_ = {};
    const bool has_recovered =
        std::exchange(consecutive_transport_errors_, 0) > 0;
    if (has_recovered) {
      pace_.OnRecovered(running(), now);
    } else if (failed && failure_share_ > kMostRequests) {
      pace_.OnFailing(now);
    }
    return has_recovered ? HealthChange::kRecovered : HealthChange::kNone;
  }
  if (IsSuspect(now)) {
    // The requests that a crash or a cut ended together count as one failure.
    return HealthChange::kNone;
  }
  const auto suspicion = std::min(
      kMaxSuspicion, kInitialSuspicion * (1 << consecutive_transport_errors_));
  consecutive_transport_errors_ =
      std::min(consecutive_transport_errors_ + 1, 3);
  suspect_until_ = now + suspicion;
  pace_.OnConnectionLost(now);
  // If the process crashed, its cache is lost.
  parts_seen_.clear();
  return HealthChange::kSuspected;
}

void UpstreamView::OnEventInterval(
    std::chrono::duration<double> event_interval) {
  event_interval_seconds_ =
      event_interval_seconds_ == 0
          ? event_interval.count()
          : event_interval_seconds_ * (1 - kEventIntervalWeight) +
                event_interval.count() * kEventIntervalWeight;
}

double UpstreamView::CachedTokens(const WaitingRequest& request,
                                  MonotonicTime now) const {
  double tokens = 0;
  for (const PromptPart& it : request.prompt_parts) {
    const auto seen = parts_seen_.find(it.id);
    if (seen == parts_seen_.end() || now - seen->second > kPartLifetime) {
      break;
    }
    tokens += it.tokens;
  }
  return tokens;
}

double UpstreamView::FailureShare(MonotonicTime now) const {
  const std::chrono::duration<double> age = now - failure_updated_;
  return failure_share_ * std::exp(-age.count() / kFailureDecaySeconds);
}

void UpstreamView::RemoveOldParts(MonotonicTime now) {
  std::erase_if(parts_seen_, [now](const auto& it) {
    return now - it.second > kPartLifetime / 2;
  });
}

}  // namespace flamingogauge
