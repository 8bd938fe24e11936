#include "libs/dispatching/dispatcher.h"

#include <algorithm>
#include <set>
#include <utility>

#include "libs/model/fingerprint.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

// The time until a host that starts knows all upstreams.
constexpr std::chrono::seconds kListingTime{3};
// An answer is late if it begins after this many times the expected time.
constexpr double kPatience = 4;
// One that begins within this time is never late.
constexpr milliseconds kMinPromise{100};

}  // namespace

std::uint64_t PeerUpstreamKey(const std::string& upstream) {
  return ComputeContentHash(upstream).low;
}

Dispatcher::Dispatcher(DispatcherOptions options)
    : options_(std::move(options)),
      random_(options_.seed),
      placement_({.data_centre = options_.data_centre,
                  .regions = options_.regions,
                  .tokens_per_event = options_.tokens_per_event,
                  .seed = options_.seed}),
      rate_shares_(options_.data_centre, options_.regions) {}

void Dispatcher::SetUpstreams(const std::vector<UpstreamEntry>& upstreams,
                              MonotonicTime now) {
  std::set<std::string> listed;
  for (const UpstreamEntry& it : upstreams) {
    listed.insert(it.id);
    const auto known = upstreams_.find(it.id);
    if (known == upstreams_.end()) {
      AddUpstream(it, now);
    } else if (known->second.entry().started_at_ms != it.started_at_ms ||
               known->second.entry().address != it.address) {
      known->second = UpstreamView(it, options_.pace);
      known->second.OnStarted(now);
    } else {
      known->second.SetEntry(it);
    }
  }
  std::erase_if(upstreams_, [&listed](const auto& it) {
    return !listed.contains(it.first);
  });
  if (!first_listed_at_ && !upstreams.empty()) {
    first_listed_at_ = now;
  }
  IndexUpstreams();
  ExpirePeerReports(now);
}

// What is listed while this host starts, or all hosts do, may have run for
// long.
void Dispatcher::AddUpstream(const UpstreamEntry& entry, MonotonicTime now) {
  const auto it =
      upstreams_.emplace(entry.id, UpstreamView(entry, options_.pace)).first;
  const bool is_starting =
      !first_listed_at_ || now - *first_listed_at_ < kListingTime;
  if (!is_starting || entry.cold_remaining.count() > 0) {
    it->second.OnStarted(now);
  }
}

void Dispatcher::IndexUpstreams() {
  by_service_.clear();
  by_peer_key_.clear();
  for (auto& [id, upstream] : upstreams_) {
    const std::uint64_t key = PeerUpstreamKey(id);
    by_service_[upstream.entry().service].push_back(&upstream);
    by_peer_key_[key] = &upstream;
    const auto it = peer_running_.find(key);
    upstream.SetPeerRunning(it == peer_running_.end() ? 0 : it->second);
  }
}

void Dispatcher::OnPeerLoad(const std::string& host,
                            const std::map<std::uint64_t, int>& running,
                            MonotonicTime now) {
  PeerReport& report = peers_[host];
  AddPeerLoad(report.running, -1);
  report = {.received_at = now, .running = running};
  AddPeerLoad(report.running, 1);
  ExpirePeerReports(now);
}

void Dispatcher::AddPeerLoad(const std::map<std::uint64_t, int>& running,
                             int sign) {
  for (const auto& [key, requests] : running) {
    int& total = peer_running_[key];
    total += sign * requests;
    const auto it = by_peer_key_.find(key);
    if (it != by_peer_key_.end()) {
      it->second->SetPeerRunning(total);
    }
    if (total == 0) {
      peer_running_.erase(key);
    }
  }
}

void Dispatcher::ExpirePeerReports(MonotonicTime now) {
  for (auto it = peers_.begin(); it != peers_.end();) {
    if (now - it->second.received_at > report_lifetime_) {
      AddPeerLoad(it->second.running, -1);
      it = peers_.erase(it);
    } else {
      ++it;
    }
  }
}

ServiceQueue& Dispatcher::QueueOf(const std::string& service) {
  return queues_
      .try_emplace(service, options_.tokens_per_event, workspace_weights_)
      .first->second;
}

void Dispatcher::Enqueue(WaitingRequest request) {
  ServiceQueue& queue = QueueOf(request.service);
  queue.Add(std::move(request));
}

void Dispatcher::Remove(std::uint64_t request) {
  for (auto& [service, queue] : queues_) {
    if (queue.Remove(request)) {
      return;
    }
  }
}

std::size_t Dispatcher::waiting_count() const {
  std::size_t count = 0;
  for (const auto& [service, queue] : queues_) {
    count += queue.size();
  }
  return count;
}

std::vector<Placement> Dispatcher::Place(MonotonicTime now) {
  ExpirePeerReports(now);
  placement_.SetSharesPlaces(options_.pace.start_requests > 0 &&
                             other_coordinator_at_ &&
                             now - *other_coordinator_at_ <= report_lifetime_);
  std::vector<Placement> placements;
  for (auto& [service, queue] : queues_) {
    const auto upstreams = by_service_.find(service);
    if (upstreams != by_service_.end()) {
      queue.Update(upstreams->second, now);
    }
    queue.Place(
        [this, &placements, now](const WaitingRequest& request) {
          return PlaceRequest(request, placements, now);
        },
        now);
  }
  return placements;
}

ServiceQueue::PlaceResult Dispatcher::PlaceRequest(
    const WaitingRequest& request,
    std::vector<Placement>& placements,
    MonotonicTime now) {
  UpstreamView* upstream = Choose(request, now);
  if (upstream == nullptr) {
    return request.excluded_upstreams.empty()
               ? ServiceQueue::PlaceResult::kSaturated
               : ServiceQueue::PlaceResult::kSkipped;
  }
  CountSent(*upstream, request, now);
  if (options_.version_gate != nullptr) {
    options_.version_gate->OnPlaced(upstream->entry(), request.priority, now);
  }
  placements.push_back({.request = request.id, .upstream = upstream->entry()});
  return ServiceQueue::PlaceResult::kPlaced;
}

bool Dispatcher::GateAdmits(const UpstreamEntry& upstream,
                            MonotonicTime now) const {
  return options_.version_gate == nullptr ||
         options_.version_gate->Admits(upstream, now);
}

std::optional<std::string> Dispatcher::TrialUpstream(
    const WaitingRequest& request,
    MonotonicTime now) const {
  if (options_.version_gate == nullptr || request.was_sent) {
    return std::nullopt;
  }
  for (const std::string& id : options_.version_gate->TrialUpstreams(
           request.service, request.priority, now)) {
    const auto it = upstreams_.find(id);
    if (it == upstreams_.end()) {
      continue;
    }
    const UpstreamView& upstream = it->second;
    if (upstream.IsAvailable(now) && !upstream.IsSuspect(now) &&
        upstream.HasPlace(now)) {
      return id;
    }
  }
  return std::nullopt;
}

PlacementObstacle Dispatcher::FindObstacle(const UpstreamView& upstream,
                                           const WaitingRequest& request,
                                           MonotonicTime now) const {
  if (upstream.entry().draining) {
    return PlacementObstacle::kDraining;
  }
  if (upstream.is_leaving()) {
    return PlacementObstacle::kLeaving;
  }
  if (upstream.has_been_replaced()) {
    return PlacementObstacle::kReplaced;
  }
  if (upstream.IsHeldBack(now)) {
    return PlacementObstacle::kHeldBack;
  }
  if (!GateAdmits(upstream.entry(), now)) {
    return PlacementObstacle::kVersionNotAdmitted;
  }
  const std::vector<std::string>& excluded = request.excluded_upstreams;
  const bool is_tried = std::find(excluded.begin(), excluded.end(),
                                  upstream.entry().id) != excluded.end();
  if (upstream.IsSuspect(now)) {
    return is_tried ? PlacementObstacle::kTriedAndSuspect
                    : PlacementObstacle::kSuspect;
  }
  if (is_tried) {
    return PlacementObstacle::kTried;
  }
  if (!upstream.rate_limit().AdmitsRequest(now)) {
    return PlacementObstacle::kRateLimited;
  }
  return upstream.HasPlace(now) ? PlacementObstacle::kNone
                                : PlacementObstacle::kFull;
}

UpstreamView* Dispatcher::Choose(const WaitingRequest& request,
                                 MonotonicTime now) {
  if (const auto trial = TrialUpstream(request, now)) {
    return &upstreams_.at(*trial);
  }
  return placement_.ChooseAmong(Eligible(request, now), request, now);
}

std::vector<UpstreamView*> Dispatcher::Eligible(const WaitingRequest& request,
                                                MonotonicTime now) const {
  const auto service = by_service_.find(request.service);
  if (service == by_service_.end()) {
    return {};
  }
  std::vector<UpstreamView*> healthy;
  std::vector<UpstreamView*> suspect;
  std::vector<UpstreamView*> tried;
  for (UpstreamView* it : service->second) {
    switch (FindObstacle(*it, request, now)) {
      case PlacementObstacle::kNone:
      case PlacementObstacle::kFull:
      case PlacementObstacle::kRateLimited:
        healthy.push_back(it);
        break;
      case PlacementObstacle::kSuspect:
        suspect.push_back(it);
        break;
      case PlacementObstacle::kTried:
        tried.push_back(it);
        break;
      default:
        break;
    }
  }
  if (healthy.empty() && suspect.empty()) {
    return tried;
  }
  // As long as the service has a healthy upstream, requests wait for it instead
  // of going to a suspect one. If all upstreams are suspect, all are tried.
  const bool has_healthy = !healthy.empty() || !tried.empty();
  return has_healthy ? healthy : suspect;
}

std::vector<Rejection> Dispatcher::Reject(MonotonicTime now) {
  std::vector<Rejection> rejections;
  for (auto& [service, queue] : queues_) {
    for (Rejection& it : queue.Reject(random_, now)) {
      rejections.push_back(std::move(it));
    }
  }
  return rejections;
}

std::vector<RefusalSummary> Dispatcher::TakeRefusals(MonotonicTime now) {
  std::vector<RefusalSummary> summaries;
  for (auto& [service, queue] : queues_) {
    if (std::optional<RefusalSummary> it = queue.TakeRefusals(now)) {
      it->service = service;
      summaries.push_back(std::move(*it));
    }
  }
  return summaries;
}

void Dispatcher::CountSent(UpstreamView& upstream,
                           const WaitingRequest& request,
                           MonotonicTime now) {
  const auto model = first_events_.find(request.service);
  if (options_.pace.start_requests > 0 && model != first_events_.end()) {
    const FirstEventModel::Seconds per_token =
        model->second.TimePerToken().value_or(FirstEventModel::Seconds(0));
    const double tokens = std::max(
        0.0, request.prompt_tokens - upstream.CachedTokens(request, now));
    upstream.AddPrefill(std::chrono::duration_cast<Duration>(
                            per_token * tokens * SlownessOf(upstream)),
                        now);
  }
  upstream.OnSent(request, now);
}

void Dispatcher::RecordPlacement(const std::string& upstream,
                                 const WaitingRequest& request,
                                 MonotonicTime now) {
  const auto it = upstreams_.find(upstream);
  if (it != upstreams_.end()) {
    CountSent(it->second, request, now);
  }
}

void Dispatcher::ReleasePlacement(const std::string& upstream) {
  const auto it = upstreams_.find(upstream);
  if (it != upstreams_.end()) {
    it->second.Release();
  }
}

HealthChange Dispatcher::RecordResult(std::uint64_t upstream_key,
                                      DispatchResult result,
                                      MonotonicTime now) {
  const auto it = by_peer_key_.find(upstream_key);
  return it == by_peer_key_.end() ? HealthChange::kNone
                                  : it->second->RecordResult(result, now);
}

const UpstreamView* Dispatcher::FindByPeerKey(std::uint64_t key) const {
  const auto it = by_peer_key_.find(key);
  return it == by_peer_key_.end() ? nullptr : it->second;
}

HealthChange Dispatcher::OnEnded(const std::string& upstream,
                                 DispatchResult result,
                                 MonotonicTime now) {
  const auto it = upstreams_.find(upstream);
  return it == upstreams_.end() ? HealthChange::kNone
                                : it->second.OnEnded(result, now);
}

void Dispatcher::HoldBackUntil(const std::string& upstream,
                               MonotonicTime time) {
  const auto it = upstreams_.find(upstream);
  if (it != upstreams_.end()) {
    it->second.HoldBackUntil(time);
  }
}

void Dispatcher::OnEventInterval(const std::string& upstream,
                                 std::chrono::duration<double> event_interval) {
  const auto it = upstreams_.find(upstream);
  if (it != upstreams_.end()) {
    it->second.OnEventInterval(event_interval);
  }
}

double Dispatcher::SlownessOf(const UpstreamView& upstream) const {
  const auto service = by_service_.find(upstream.entry().service);
  const double mean = MeanEventInterval(service->second);
  const double own = upstream.event_interval_seconds();
  return mean > 0 && own > 0 ? own / mean : upstream.start_ratio();
}

// Compares an upstream with what such a prompt takes on the others of its
// service and with its own speed, so that a slow one does not count as failing.
void Dispatcher::OnFirstEvent(std::uint64_t upstream_key,
                              Duration took,
                              double prompt_tokens,
                              MonotonicTime now) {
  const auto it = by_peer_key_.find(upstream_key);
  if (it == by_peer_key_.end()) {
    return;
  }
  UpstreamView& upstream = *it->second;
  FirstEventModel& model = first_events_[upstream.entry().service];
  const double slowness = SlownessOf(upstream);
  const FirstEventModel::Seconds seconds(took);
  const auto expected = model.Expect(prompt_tokens);
  const bool is_on_time =
      !expected || seconds <= std::max(FirstEventModel::Seconds(kMinPromise),
                                       *expected * slowness * kPatience);
  const double ratio = expected ? seconds / *expected : 1.0;
  model.Add(prompt_tokens, seconds / slowness);
  upstream.OnAnswer(is_on_time, took, ratio, now);
}

void Dispatcher::OnPaceReport(std::uint64_t upstream_key,
                              double requests,
                              MonotonicTime learned_at,
                              MonotonicTime now) {
  const auto it = by_peer_key_.find(upstream_key);
  if (it != by_peer_key_.end()) {
    it->second->OnPaceReport(requests, learned_at, now);
  }
}

std::vector<PaceChange> Dispatcher::TakePaceChanges() {
  std::vector<PaceChange> changes;
  for (auto& [id, upstream] : upstreams_) {
    if (std::optional<PaceChange> change = upstream.TakePaceChange()) {
      changes.push_back(std::move(*change));
    }
  }
  return changes;
}

bool Dispatcher::HasAnyUpstream() const {
  return !upstreams_.empty();
}

std::map<std::uint64_t, int> Dispatcher::OwnLoad() const {
  std::map<std::uint64_t, int> load;
  for (const auto& [id, state] : upstreams_) {
    if (state.own_running() > 0) {
      load[PeerUpstreamKey(id)] = state.own_running();
    }
  }
  return load;
}

}  // namespace flamingogauge
