#include "libs/scheduling/upstream_state.h"

#include <algorithm>

namespace flamingogauge {
namespace {

// Snapshots that are kept for comparison with delayed load reports.
constexpr std::size_t kMaxSnapshots = 128;

}  // namespace

void UpstreamState::OnDispatched(MonotonicTime now,
                                 std::uint64_t tokens,
                                 bool is_long,
                                 double prefill) {
  ++in_flight_;
  long_in_flight_ += is_long ? 1 : 0;
  tokens_ += tokens;
  prefill_free_at_ = std::max(now, prefill_free_at_) +
                     std::chrono::duration_cast<Duration>(
                         std::chrono::duration<double>(prefill));
  RecordSnapshot(now);
}

void UpstreamState::OnEnded(MonotonicTime now,
                            std::uint64_t tokens,
                            bool is_long) {
  in_flight_ -= std::min<std::uint32_t>(in_flight_, 1);
  long_in_flight_ -= std::min<std::uint32_t>(long_in_flight_, is_long ? 1 : 0);
  tokens_ -= std::min(tokens_, tokens);
  if (in_flight_ == 0) {
    prefill_free_at_ = now;
  }
  RecordSnapshot(now);
}

void UpstreamState::OnLoad(MonotonicTime now, const LoadReport& report) {
  reported_capacity_ = report.token_capacity;
  const MonotonicTime measured_at = now - report.age;
  Snapshot at_measurement{.time = measured_at, .in_flight = 0, .tokens = 0};
  const auto later = std::upper_bound(
      history_.begin(), history_.end(), measured_at,
      [](MonotonicTime time, const Snapshot& it) { return time < it.time; });
  if (later != history_.begin()) {
    at_measurement = *std::prev(later);
  } else if (!history_.empty()) {
    // The report is older than the first snapshot and cannot be compared.
    return;
  }
  const std::uint32_t reported =
      report.running_requests + report.waiting_requests;
  external_running_ = reported - std::min(reported, at_measurement.in_flight);
  external_tokens_ =
      external_running_ == 0
          ? 0
          : report.tokens_in_memory -
                std::min(report.tokens_in_memory, at_measurement.tokens);
}

double UpstreamState::PrefillBacklog(MonotonicTime now) const {
  return prefill_free_at_ <= now
             ? 0
             : std::chrono::duration<double>(prefill_free_at_ - now).count();
}

void UpstreamState::RecordSnapshot(MonotonicTime now) {
  if (!history_.empty() && history_.back().time == now) {
    history_.pop_back();
  }
  history_.push_back({.time = now, .in_flight = in_flight_, .tokens = tokens_});
  if (history_.size() > kMaxSnapshots) {
    history_.pop_front();
  }
}

}  // namespace flamingogauge
