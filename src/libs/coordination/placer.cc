#include "libs/coordination/placer.h"

#include <algorithm>
#include <set>
#include <utility>

#include "libs/fleet/host_order.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

// Coordinators to which a request is submitted before this host places it.
constexpr int kMaxAttempts = 2;
// The name under which the load of all other hosts is recorded.
constexpr char kOtherHosts[] = "others";

}  // namespace

Placer::Placer(PlacerOptions options)
    : options_(std::move(options)), local_(options_.dispatcher) {}

void Placer::SetRegions(std::map<std::string, std::string> regions) {
  local_.SetRegions(std::move(regions));
}

void Placer::SetReportLifetime(milliseconds lifetime) {
  local_.SetReportLifetime(lifetime);
}

void Placer::SetWorkspaceWeights(WorkspaceWeights weights) {
  local_.SetWorkspaceWeights(std::move(weights));
}

void Placer::SetHosts(const std::vector<HostEntry>& hosts, MonotonicTime now) {
  candidates_.clear();
  std::set<std::string> known;
  RateLimitSharers sharers{.nearby = 0};
  for (const HostEntry& it : OrderHosts(hosts)) {
    known.insert(it.name);
    sharers.data_centres.insert(it.data_centre);
    if (it.data_centre != options_.data_centre) {
      continue;
    }
    ++sharers.nearby;
    if (candidates_.size() < kCandidates) {
      candidates_.push_back(it.name);
    }
  }
  local_.SetRateLimitSharers(std::move(sharers), now);
  std::erase_if(states_,
                [&known](const auto& it) { return !known.contains(it.first); });
}

void Placer::SetUpstreams(const std::vector<UpstreamEntry>& upstreams,
                          MonotonicTime now) {
  local_.SetUpstreams(upstreams, now);
}

bool Placer::IsAvoided(const std::string& candidate) const {
  const auto it = states_.find(candidate);
  return it != states_.end() && it->second.avoided_since;
}

std::string Placer::Coordinator() const {
  for (const std::string& it : candidates_) {
    if (it == options_.host ? !is_draining_ : !IsAvoided(it)) {
      return it;
    }
  }
  return "";
}

void Placer::Enqueue(WaitingRequest request) {
  Submit({.request = std::move(request)});
}

void Placer::Submit(Pending pending) {
  pending.coordinator = Coordinator();
  if (pending.coordinator.empty() || pending.attempts > kMaxAttempts) {
    local_.Enqueue(std::move(pending.request));
    return;
  }
  pending.ticket = next_ticket_++;
  pending.sent_at.reset();
  pending.acknowledged = false;
  urgent_.insert(pending.coordinator);
  const std::uint64_t id = pending.request.id;
  id_by_ticket_[pending.ticket] = id;
  pending_.insert_or_assign(id, std::move(pending));
}

void Placer::InformCoordinator() {
  const std::string coordinator = Coordinator();
  if (!coordinator.empty()) {
    urgent_.insert(coordinator);
  }
}

void Placer::OnNotSent(const Placement& placement) {
  local_.ReleasePlacement(placement.upstream.id);
  InformCoordinator();
}

void Placer::Remove(std::uint64_t request) {
  local_.Remove(request);
  const auto granted = std::find_if(
      placements_.begin(), placements_.end(),
      [request](const Placement& it) { return it.request == request; });
  if (granted != placements_.end()) {
    OnNotSent(*granted);
    placements_.erase(granted);
    return;
  }
  const auto it = pending_.find(request);
  if (it == pending_.end()) {
    return;
  }
  urgent_.insert(it->second.coordinator);
  id_by_ticket_.erase(it->second.ticket);
  pending_.erase(it);
}

std::vector<Placement> Placer::Place(MonotonicTime now) {
  std::vector<Placement> placements = std::exchange(placements_, {});
  for (Placement& it : local_.Place(now)) {
    placements.push_back(std::move(it));
  }
  return placements;
}

std::vector<Rejection> Placer::Reject(MonotonicTime now) {
  std::vector<Rejection> rejections = std::exchange(rejections_, {});
  for (Rejection& it : local_.Reject(now)) {
    rejections.push_back(std::move(it));
  }
  return rejections;
}

HealthChange Placer::OnEnded(const std::string& upstream,
                             DispatchResult result,
                             MonotonicTime now) {
  AddResult({.upstream = PeerUpstreamKey(upstream), .result = result}, now);
  // The place is free again.
  InformCoordinator();
  return local_.OnEnded(upstream, result, now);
}

void Placer::OnEventInterval(const std::string& upstream,
                             std::chrono::duration<double> event_interval,
                             MonotonicTime now) {
  AddResult({.upstream = PeerUpstreamKey(upstream),
             .result = DispatchResult::kAbandoned,
             .event_interval = event_interval},
            now);
  local_.OnEventInterval(upstream, event_interval);
}

void Placer::OnFirstEvent(const std::string& upstream,
                          Duration took,
                          double prompt_tokens,
                          MonotonicTime now) {
  const std::uint64_t key = PeerUpstreamKey(upstream);
  AddResult({.upstream = key,
             .result = DispatchResult::kAbandoned,
             .first_event = took,
             .prompt_tokens = prompt_tokens},
            now);
  local_.OnFirstEvent(key, took, prompt_tokens, now);
}

void Placer::OnRetryAfter(const std::string& upstream,
                          milliseconds retry_after,
                          MonotonicTime now) {
  const MonotonicTime until = now + retry_after;
  local_.HoldBackUntil(upstream, until);
  held_back_until_ = std::max(held_back_until_, until);
}

bool Placer::OnRateLimit(const std::string& upstream,
                         const RateLimitStatement& statement) {
  const bool is_news = local_.OnRateLimit(upstream, statement);
  if (is_news) {
    InformCoordinator();
  }
  return is_news;
}

HealthChange Placer::OnLeaving(const std::string& upstream, MonotonicTime now) {
  const std::uint64_t key = PeerUpstreamKey(upstream);
  const HealthChange change =
      local_.RecordResult(key, DispatchResult::kLeaving, now);
  if (change != HealthChange::kNone) {
    AddResult({.upstream = key, .result = DispatchResult::kLeaving}, now);
    InformCoordinator();
  }
  return change;
}

void Placer::OnHeard(const std::string& coordinator,
                     std::uint64_t process,
                     MonotonicTime now) {
  CoordinatorState& state = states_[coordinator];
  state.heard_at = now;
  if (state.avoided_since &&
      now - *state.avoided_since >= options_.min_avoidance) {
    state.avoided_since.reset();
  }
  const std::uint64_t known = std::exchange(state.process, process);
  if (known == process || known == 0) {
    return;
  }
  // A restarted coordinator knows none of the requests.
  state.last_grant = 0;
  state.last_summary = 0;
  for (auto& [id, pending] : pending_) {
    if (pending.coordinator == coordinator) {
      SubmitAgain(pending);
    }
  }
}

bool Placer::OnCoordinatorMessage(const CoordinatorMessage& message,
                                  MonotonicTime now) {
  if (message.host_process != options_.process) {
    return false;
  }
  OnHeard(message.coordinator, message.process, now);
  CoordinatorState& state = states_[message.coordinator];
  for (const PlacementGrant& it : message.grants) {
    state.last_grant = std::max(state.last_grant, it.number);
    OnGrant(it, now);
  }
  for (const PlacementRefusal& it : message.refusals) {
    const auto id = id_by_ticket_.find(it.ticket);
    if (id != id_by_ticket_.end()) {
      rejections_.push_back({.request = id->second,
                             .retry_after = it.retry_after,
                             .reason = it.reason});
      pending_.erase(id->second);
      id_by_ticket_.erase(id);
    }
  }
  for (const std::uint64_t it : message.queued) {
    const auto id = id_by_ticket_.find(it);
    if (id != id_by_ticket_.end()) {
      pending_.at(id->second).acknowledged = true;
    }
  }
  for (const std::uint64_t it : message.unknown) {
    const auto id = id_by_ticket_.find(it);
    if (id != id_by_ticket_.end()) {
      SubmitAgain(pending_.at(id->second));
    }
  }
  return true;
}

void Placer::SubmitAgain(Pending& pending) {
  pending.acknowledged = false;
  pending.sent_at.reset();
  urgent_.insert(pending.coordinator);
}

void Placer::OnGrant(const PlacementGrant& grant, MonotonicTime now) {
  const auto id = id_by_ticket_.find(grant.ticket);
  if (id == id_by_ticket_.end()) {
    // Cancelled or placed elsewhere meanwhile. The next message accounts for
    // the grant, which frees the place.
    return;
  }
  const auto it = pending_.find(id->second);
  const UpstreamView* upstream = local_.FindByPeerKey(grant.upstream);
  const VersionGate* gate = options_.dispatcher.version_gate;
  if (upstream != nullptr && gate != nullptr &&
      !gate->AcceptsGrant(upstream->entry(), now)) {
    // This host knows more about the version than the coordinator.
    Reassign(id->second);
    return;
  }
  const bool is_usable =
      upstream != nullptr &&
      upstream->entry().service == it->second.request.service &&
      upstream->IsAvailable(now) && !upstream->IsSuspect(now);
  if (!is_usable) {
    // This host knows more about the upstream than the coordinator.
    if (upstream != nullptr) {
      it->second.request.excluded_upstreams.push_back(upstream->entry().id);
    }
    Reassign(id->second);
    return;
  }
  const UpstreamEntry entry = upstream->entry();
  local_.RecordPlacement(entry.id, it->second.request, now);
  placements_.push_back({.request = id->second, .upstream = entry});
  pending_.erase(it);
  id_by_ticket_.erase(id);
}

bool Placer::OnSummary(const FleetSummary& summary, MonotonicTime now) {
  if (summary.host_process != options_.process) {
    return false;
  }
  OnHeard(summary.coordinator, summary.process, now);
  CoordinatorState& state = states_[summary.coordinator];
  if (summary.sequence <= state.last_summary) {
    return true;
  }
  state.last_summary = summary.sequence;
  if (summary.draining) {
    Avoid(summary.coordinator, now);
  }
  if (summary.coordinator == Coordinator()) {
    local_.OnPeerLoad(kOtherHosts, summary.running, now);
    for (const UpstreamPaceReport& it : summary.paces) {
      local_.OnPaceReport(it.upstream, it.requests, now - it.age, now);
    }
    for (const RateLimitReport& it : summary.rate_limits) {
      local_.OnRateLimitReport(
          it.upstream,
          FromRateLimitReport(it, RateLimitSource::kCoordinator, now), now);
    }
  }
  return true;
}

void Placer::Avoid(const std::string& coordinator, MonotonicTime now) {
  if (coordinator == options_.host) {
    return;
  }
  states_[coordinator].avoided_since = now;
  std::vector<std::uint64_t> ids;
  for (const auto& [id, pending] : pending_) {
    if (pending.coordinator == coordinator) {
      ids.push_back(id);
    }
  }
  for (const std::uint64_t id : ids) {
    Reassign(id);
  }
}

void Placer::Reassign(std::uint64_t id) {
  const auto it = pending_.find(id);
  Pending pending = std::move(it->second);
  pending_.erase(it);
  id_by_ticket_.erase(pending.ticket);
  urgent_.insert(pending.coordinator);
  ++pending.attempts;
  Submit(std::move(pending));
}

void Placer::Tick(MonotonicTime now) {
  std::vector<std::uint64_t> ids;
  for (const auto& [id, pending] : pending_) {
    ids.push_back(id);
  }
  for (const std::uint64_t id : ids) {
    if (pending_.contains(id)) {
      CheckAnswer(id, now);
    }
  }
}

void Placer::CheckAnswer(std::uint64_t id, MonotonicTime now) {
  const Pending& pending = pending_.at(id);
  if (pending.coordinator == options_.host || !pending.sent_at) {
    return;
  }
  const MonotonicTime heard_at = states_[pending.coordinator].heard_at;
  if (pending.acknowledged) {
    if (now - std::max(heard_at, *pending.sent_at) > options_.silence_limit) {
      Avoid(pending.coordinator, now);
    }
    return;
  }
  if (now - *pending.sent_at <= options_.answer_limit) {
    return;
  }
  if (heard_at < *pending.sent_at) {
    Avoid(pending.coordinator, now);
  } else {
    // The coordinator answers others: the message was lost, or it is slow.
    Reassign(id);
  }
}

void Placer::OnPaused() {
  std::vector<std::uint64_t> ids;
  for (const auto& [id, pending] : pending_) {
    ids.push_back(id);
  }
  for (const std::uint64_t id : ids) {
    Pending& pending = pending_.at(id);
    pending.attempts = 0;
    Reassign(id);
  }
}

std::vector<std::string> Placer::InformedHosts() const {
  std::set<std::string> hosts;
  for (std::size_t n = 0; n < candidates_.size() && n < kInformedCandidates;
       ++n) {
    hosts.insert(candidates_[n]);
  }
  const std::string coordinator = Coordinator();
  if (!coordinator.empty()) {
    hosts.insert(coordinator);
  }
  for (const auto& [id, pending] : pending_) {
    hosts.insert(pending.coordinator);
  }
  return {hosts.begin(), hosts.end()};
}

std::vector<std::string> Placer::TakeUrgentReceivers() {
  const std::set<std::string> receivers = std::exchange(urgent_, {});
  return {receivers.begin(), receivers.end()};
}

std::size_t Placer::unacknowledged_count() const {
  return static_cast<std::size_t>(
      std::count_if(pending_.begin(), pending_.end(),
                    [](const auto& it) { return !it.second.acknowledged; }));
}

}  // namespace flamingogauge
