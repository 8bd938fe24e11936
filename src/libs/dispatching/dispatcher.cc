#include "libs/dispatching/dispatcher.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include "libs/model/fingerprint.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

// Prefill rate of an average engine, in prompt tokens per second.
constexpr double kPrefillTokensPerSecond = 55000;
// Cost of the traffic to another data centre or region, expressed in seconds of
// waiting time.
constexpr double kOtherDataCentreCost = 0.03;
constexpr double kOtherRegionCost = 0.08;
// Cost of a fully loaded upstream, in seconds.
constexpr double kLoadCost = 0.1;
// Cost of an upstream that fails every request, in seconds.
constexpr double kFailureCost = 1.0;
// Random cost in seconds that keeps hosts that see the same load from all
// choosing the same upstream.
constexpr double kJitter = 0.01;
// Cost of each second of expected output; steers long outputs to fast
// upstreams.
constexpr double kOutputCost = 0.08;
// The mean event interval of the upstreams that have a measurement, in seconds;
// 0 if there is none.
double MeanEventInterval(const std::vector<UpstreamView*>& upstreams) {
  double sum = 0;
  int count = 0;
  for (const UpstreamView* it : upstreams) {
    if (it->event_interval_seconds() > 0) {
      sum += it->event_interval_seconds();
      ++count;
    }
  }
  return count == 0 ? 0 : sum / count;
}

}  // namespace

std::uint64_t PeerUpstreamKey(const std::string& upstream) {
  return ComputeContentHash(upstream).low;
}

Dispatcher::Dispatcher(DispatcherOptions options)
    : options_(std::move(options)), random_(options_.seed) {}

void Dispatcher::SetUpstreams(const std::vector<UpstreamEntry>& upstreams,
                              MonotonicTime now) {
  std::set<std::string> listed;
  for (const UpstreamEntry& it : upstreams) {
    listed.insert(it.id);
    const auto known = upstreams_.find(it.id);
    if (known == upstreams_.end()) {
      upstreams_.emplace(it.id, UpstreamView(it));
    } else if (known->second.entry().started_at_ms != it.started_at_ms ||
               known->second.entry().address != it.address) {
      known->second = UpstreamView(it);
    } else {
      known->second.SetEntry(it);
    }
  }
  std::erase_if(upstreams_, [&listed](const auto& it) {
    return !listed.contains(it.first);
  });
  IndexUpstreams();
  ExpirePeerReports(now);
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
  upstream->OnSent(request, now);
  if (options_.version_gate != nullptr) {
    options_.version_gate->OnPlaced(request.service, upstream->entry().version,
                                    now);
  }
  placements.push_back({.request = request.id, .upstream = upstream->entry()});
  return ServiceQueue::PlaceResult::kPlaced;
}

bool Dispatcher::GateAdmits(const UpstreamEntry& upstream,
                            MonotonicTime now) const {
  return options_.version_gate == nullptr ||
         options_.version_gate->Admits(upstream.service, upstream.version, now);
}

UpstreamView* Dispatcher::Choose(const WaitingRequest& request,
                                 MonotonicTime now) {
  std::vector<UpstreamView*> healthy;
  std::vector<UpstreamView*> suspect;
  std::vector<UpstreamView*> tried;
  const auto service = by_service_.find(request.service);
  if (service == by_service_.end()) {
    return nullptr;
  }
  const std::vector<std::string>& excluded = request.excluded_upstreams;
  bool has_healthy = false;
  for (UpstreamView* it : service->second) {
    if (!it->IsAvailable(now) || !GateAdmits(it->entry(), now)) {
      continue;
    }
    const bool is_suspect = it->IsSuspect(now);
    has_healthy = has_healthy || !is_suspect;
    if (std::find(excluded.begin(), excluded.end(), it->entry().id) ==
        excluded.end()) {
      (is_suspect ? suspect : healthy).push_back(it);
    } else if (!is_suspect) {
      tried.push_back(it);
    }
  }
  if (healthy.empty() && suspect.empty()) {
    return ChooseAmong(tried, request, now);
  }
  // As long as the service has a healthy upstream, requests wait for it instead
  // of going to a suspect one. If all upstreams are suspect, all are tried.
  return ChooseAmong(has_healthy ? healthy : suspect, request, now);
}

UpstreamView* Dispatcher::ChooseAmong(
    const std::vector<UpstreamView*>& upstreams,
    const WaitingRequest& request,
    MonotonicTime now) const {
  const double mean_event_interval = MeanEventInterval(upstreams);
  UpstreamView* best = nullptr;
  double best_cost = std::numeric_limits<double>::infinity();
  for (UpstreamView* it : upstreams) {
    if (it->running() >= it->Limit()) {
      continue;
    }
    const double cost = Cost(*it, request, mean_event_interval, now);
    if (cost < best_cost) {
      best_cost = cost;
      best = it;
    }
  }
  return best;
}

double Dispatcher::Cost(const UpstreamView& upstream,
                        const WaitingRequest& request,
                        double mean_event_interval,
                        MonotonicTime now) const {
  const double slowness =
      mean_event_interval > 0 && upstream.event_interval_seconds() > 0
          ? upstream.event_interval_seconds() / mean_event_interval
          : 1.0;
  const double cached = upstream.CachedTokens(request, now);
  const double prefill =
      std::max(0.0, request.prompt_tokens - cached) / kPrefillTokensPerSecond;
  const double load =
      static_cast<double>(upstream.running()) / upstream.entry().slots;
  double cost = slowness * (prefill + load * kLoadCost + mean_event_interval);
  cost += OutputSeconds(upstream, request, mean_event_interval) * kOutputCost;
  cost += DistanceCost(upstream.entry());
  cost += upstream.FailureShare(now) * kFailureCost;
  cost += random_.NextDouble() * kJitter;
  return cost;
}

double Dispatcher::OutputSeconds(const UpstreamView& upstream,
                                 const WaitingRequest& request,
                                 double mean_event_interval) const {
  const double event_interval = upstream.event_interval_seconds() > 0
                                    ? upstream.event_interval_seconds()
                                    : mean_event_interval;
  return request.expected_output_tokens / options_.tokens_per_event *
         event_interval;
}

double Dispatcher::DistanceCost(const UpstreamEntry& upstream) const {
  if (upstream.data_centre == options_.data_centre) {
    return 0;
  }
  const auto own = options_.regions.find(options_.data_centre);
  const auto other = options_.regions.find(upstream.data_centre);
  const bool same_region = own != options_.regions.end() &&
                           other != options_.regions.end() &&
                           own->second == other->second;
  return same_region ? kOtherDataCentreCost : kOtherRegionCost;
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

void Dispatcher::RecordPlacement(const std::string& upstream,
                                 const WaitingRequest& request,
                                 MonotonicTime now) {
  const auto it = upstreams_.find(upstream);
  if (it != upstreams_.end()) {
    it->second.OnSent(request, now);
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
