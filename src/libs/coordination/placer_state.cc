// The part of Placer that composes this host's state for coordinators.
#include <utility>

#include "libs/coordination/placer.h"

namespace flamingogauge {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// A result is repeated in the messages of this time, some of which may be lost.
constexpr milliseconds kResultRepetition{500};
constexpr std::size_t kMaxResults = 256;

milliseconds Until(MonotonicTime time, MonotonicTime now) {
  return duration_cast<milliseconds>(time - now);
}

}  // namespace

void Placer::AddResult(UpstreamResult result, MonotonicTime now) {
  result.number = ++result_count_;
  results_.push_back({.result = result, .at = now});
  while (results_.size() > kMaxResults ||
         now - results_.front().at > kResultRepetition) {
    results_.pop_front();
  }
}

HostMessage Placer::StateFor(const std::string& coordinator,
                             MonotonicTime now) {
  const CoordinatorState& state = states_[coordinator];
  HostMessage message{.running = local_.OwnLoad(),
                      .coordinator_process = state.process,
                      .last_grant = state.last_grant};
  for (auto& [id, pending] : pending_) {
    if (pending.coordinator != coordinator) {
      continue;
    }
    message.waiting.push_back(pending.ticket);
    if (!pending.acknowledged) {
      message.requests.push_back(ToPlacementRequest(pending, now));
      pending.sent_at = pending.sent_at.value_or(now);
    }
  }
  for (const auto& [upstream, limit] : local_.RateLimits(now)) {
    if (limit.source == RateLimitSource::kHost) {
      message.rate_limits.push_back(ToRateLimitReport(upstream, limit, now));
    }
  }
  for (const TimedResult& it : results_) {
    if (now - it.at <= kResultRepetition) {
      message.results.push_back(it.result);
    }
  }
  return message;
}

PlacementRequest Placer::ToPlacementRequest(const Pending& pending,
                                            MonotonicTime now) const {
  const WaitingRequest& request = pending.request;
  PlacementRequest placement{
      .ticket = pending.ticket,
      .service = request.service,
      .priority = request.priority,
      .waited = Until(now, request.arrived_at),
      .due_in = Until(request.due_at, now),
      .start_in = Until(request.start_by, now),
      .deadline_in = Until(request.deadline, now),
      .prompt_tokens = request.prompt_tokens,
      .expected_output_tokens = request.expected_output_tokens,
      .prompt_parts = request.prompt_parts,
      .was_sent = request.was_sent,
      .workspace = request.workspace,
      .returned = request.returned};
  for (const std::string& it : request.excluded_upstreams) {
    placement.excluded_upstreams.push_back(PeerUpstreamKey(it));
  }
  for (const std::string& it : HeldBack(request.service, now)) {
    placement.excluded_upstreams.push_back(PeerUpstreamKey(it));
  }
  return placement;
}

void Placer::ExcludeHeldBack(WaitingRequest& request, MonotonicTime now) const {
  for (std::string& it : HeldBack(request.service, now)) {
    request.excluded_upstreams.push_back(std::move(it));
  }
}

std::vector<std::string> Placer::HeldBack(const std::string& service,
                                          MonotonicTime now) const {
  std::vector<std::string> held_back;
  if (now >= held_back_until_) {
    return held_back;
  }
  for (const auto& [id, upstream] : local_.upstreams()) {
    if (upstream.IsHeldBack(now) && upstream.entry().service == service) {
      held_back.push_back(id);
    }
  }
  return held_back;
}

}  // namespace flamingogauge
