#include "tests/auto/coordination/fleet_simulation.h"

#include <algorithm>
#include <utility>

namespace flamingogauge {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr milliseconds kStepTime{1};
constexpr milliseconds kStateInterval{400};
constexpr milliseconds kCheckInterval{10};
constexpr milliseconds kSummaryInterval{100};
constexpr milliseconds kReportInterval{50};
constexpr milliseconds kPauseTime{600};
// Until a response begins, and until it is at its host.
constexpr milliseconds kResponseTime{40};
// How long after a restart, a pause or a cut a host is not held to limits.
constexpr milliseconds kDisturbedTime{4000};
// The time in which a host can tell others of a limit.
constexpr milliseconds kTellingTime{500};
// Tells at the same time for all hosts apart by their number.
constexpr milliseconds kStagger{7};

bool IsDue(MonotonicTime now, int host, milliseconds interval) {
  const auto since = duration_cast<milliseconds>(now.time_since_epoch());
  return ((since + host * kStagger) % interval).count() == 0;
}

}  // namespace

FleetSimulation::FleetSimulation(FleetSimulationOptions options)
    : options_(options), random_(options.seed) {
  for (int dc = 0; dc < options_.data_centres; ++dc) {
    const std::string data_centre = "z" + std::to_string(dc);
    for (int n = 0; n < options_.hosts_per_data_centre; ++n) {
      const std::string name = data_centre + "-h" + std::to_string(n);
      entries_.push_back({.name = name,
                          .report_address = name,
                          .data_centre = data_centre,
                          .capacity = n < 2 ? 0.5 : 0.1});
      hosts_.push_back({.name = name, .data_centre = data_centre});
    }
    for (int n = 0; n < options_.upstreams_per_data_centre; ++n) {
      upstreams_.push_back(
          {.id = data_centre + "-u" + std::to_string(n),
           .service = ServiceOf(static_cast<std::uint64_t>(n)),
           .address = data_centre + "-u" + std::to_string(n) + ":80",
           .data_centre = data_centre,
           .slots = options_.slots});
    }
  }
  for (int n = 0; n < host_count(); ++n) {
    Start(n);
  }
}

std::string FleetSimulation::HostName(int host) const {
  return hosts_[static_cast<std::size_t>(host)].name;
}

int FleetSimulation::IndexOf(const std::string& name) const {
  const auto it =
      std::find_if(hosts_.begin(), hosts_.end(),
                   [&name](const Host& host) { return host.name == name; });
  return it == hosts_.end() ? -1 : static_cast<int>(it - hosts_.begin());
}

std::string FleetSimulation::ServiceOf(std::uint64_t number) const {
  return "s" +
         std::to_string(number % static_cast<std::uint64_t>(options_.services));
}

std::string FleetSimulation::CoordinatorOf(int host) const {
  return hosts_[static_cast<std::size_t>(host)].placer->Coordinator();
}

void FleetSimulation::Start(int index) {
  Host& host = hosts_[static_cast<std::size_t>(index)];
  if (host.process != 0) {
    host.disturbed_at = now_;
  }
  host.told_at.clear();
  host.is_up = true;
  host.is_draining = false;
  host.process = next_process_++;
  host.sequence = 0;
  host.active_at = now_;
  host.held_messages.clear();
  host.left_callers.clear();
  const DispatcherOptions dispatcher{.data_centre = host.data_centre,
                                     .seed = options_.seed + host.process};
  host.placer =
      std::make_unique<Placer>(PlacerOptions{.host = host.name,
                                             .process = host.process,
                                             .data_centre = host.data_centre,
                                             .dispatcher = dispatcher});
  host.coordinator = std::make_unique<Coordinator>(CoordinatorOptions{
      .host = host.name, .process = host.process, .dispatcher = dispatcher});
  host.placer->SetHosts(entries_, now_);
  host.coordinator->SetHosts(entries_, now_);
  host.placer->SetUpstreams(upstreams_, now_);
  host.coordinator->SetUpstreams(upstreams_, now_);
}

void FleetSimulation::Kill(int index) {
  Host& host = hosts_[static_cast<std::size_t>(index)];
  host.is_up = false;
  for (auto& [id, request] : requests_) {
    if (request.host == index && request.outcome == Outcome::kOpen) {
      request.outcome = Outcome::kLost;
    }
  }
  // The upstreams notice that the connections have ended.
  for (auto it = executions_.begin(); it != executions_.end();) {
    if (it->second.host == index) {
      --running_[it->second.upstream];
      it = executions_.erase(it);
    } else {
      ++it;
    }
  }
}

void FleetSimulation::Freeze(int index, milliseconds time) {
  Host& host = hosts_[static_cast<std::size_t>(index)];
  host.frozen_until = now_ + time;
  host.disturbed_at = host.frozen_until;
}

void FleetSimulation::SetPartitioned(bool partitioned) {
  if (partitioned_ || partitioned) {
    for (Host& it : hosts_) {
      it.disturbed_at = now_;
    }
  }
  partitioned_ = partitioned;
}

void FleetSimulation::StateRateLimit(
    const std::string& upstream,
    std::optional<double> requests_per_second) {
  if (requests_per_second) {
    rate_limits_[upstream] = *requests_per_second;
  } else {
    rate_limits_.erase(upstream);
  }
}

void FleetSimulation::Respond(Host& host, const std::string& upstream) {
  const MonotonicTime sent_at = now_;
  const auto told = host.told_at.find(upstream);
  arrivals_[upstream].push_back(
      {.at = now_,
       .is_despite_limit = told != host.told_at.end() &&
                           now_ - told->second >= kTellingTime &&
                           !IsDisturbed(host)});
  const auto respond = [this, &host, upstream, sent_at,
                        process = host.process] {
    if (!host.is_up || host.process != process) {
      return;
    }
    const auto limit = rate_limits_.find(upstream);
    const bool is_limited = limit != rate_limits_.end();
    host.placer->OnRateLimit(
        upstream, {.requests_per_second =
                       is_limited ? std::optional(limit->second) : std::nullopt,
                   .request_sent_at = sent_at,
                   .stated_at = now_});
    if (is_limited) {
      host.told_at.try_emplace(upstream, now_);
    }
  };
  messages_in_transit_.emplace(now_ + kResponseTime, [this, &host, respond] {
    if (now_ < host.frozen_until) {
      host.held_messages.push_back(respond);
    } else {
      respond();
    }
  });
}

bool FleetSimulation::IsDisturbed(const Host& host) const {
  return host.disturbed_at && now_ - *host.disturbed_at < kDisturbedTime;
}

int FleetSimulation::SentDespiteLimit(const std::string& upstream,
                                      milliseconds time) const {
  const auto arrivals = arrivals_.find(upstream);
  if (arrivals == arrivals_.end()) {
    return 0;
  }
  return static_cast<int>(
      std::count_if(arrivals->second.begin(), arrivals->second.end(),
                    [this, time](const Arrival& it) {
                      return it.is_despite_limit && now_ - it.at < time;
                    }));
}

int FleetSimulation::Sent(const std::string& upstream,
                          milliseconds time) const {
  const auto arrivals = arrivals_.find(upstream);
  if (arrivals == arrivals_.end()) {
    return 0;
  }
  return static_cast<int>(std::count_if(
      arrivals->second.begin(), arrivals->second.end(),
      [this, time](const Arrival& it) { return now_ - it.at < time; }));
}

void FleetSimulation::Drain(int index) {
  Host& host = hosts_[static_cast<std::size_t>(index)];
  host.is_draining = true;
  host.placer->SetDraining();
}

std::uint64_t FleetSimulation::Submit(int index) {
  Host& host = hosts_[static_cast<std::size_t>(index)];
  const std::uint64_t id = next_request_++;
  if (!host.is_up) {
    return id;
  }
  const std::string service = ServiceOf(id);
  requests_[id] = {.host = index, .service = service, .arrived_at = now_};
  host.placer->Enqueue({.id = id,
                        .service = service,
                        .arrived_at = now_,
                        .due_at = now_ + options_.target,
                        .start_by = now_ + options_.target * 4,
                        .deadline = now_ + options_.target * 8});
  return id;
}

void FleetSimulation::Cancel(std::uint64_t request) {
  const auto it = requests_.find(request);
  if (it != requests_.end()) {
    hosts_[static_cast<std::size_t>(it->second.host)].left_callers.push_back(
        request);
  }
}

void FleetSimulation::RemoveLeftCallers(Host& host) {
  for (const std::uint64_t it : std::exchange(host.left_callers, {})) {
    Request& request = requests_.at(it);
    if (request.outcome == Outcome::kOpen) {
      request.outcome = Outcome::kLost;
      host.placer->Remove(it);
    }
  }
}

void FleetSimulation::Run(milliseconds time) {
  for (const MonotonicTime end = now_ + time; now_ < end;) {
    Step();
  }
}

void FleetSimulation::Step() {
  now_ += kStepTime;
  EndExecutions();
  while (!messages_in_transit_.empty() &&
         messages_in_transit_.begin()->first <= now_) {
    const auto message = std::move(messages_in_transit_.begin()->second);
    messages_in_transit_.erase(messages_in_transit_.begin());
    message();
  }
  for (int n = 0; n < host_count(); ++n) {
    Host& host = hosts_[static_cast<std::size_t>(n)];
    if (host.is_up && now_ >= host.frozen_until) {
      StepHost(n);
    }
  }
}

void FleetSimulation::StepHost(int index) {
  Host& host = hosts_[static_cast<std::size_t>(index)];
  if (now_ - std::exchange(host.active_at, now_) >= kPauseTime) {
    host.placer->OnPaused();
  }
  // As in the gateway, the coordinator may run between two messages.
  for (const auto& it : std::exchange(host.held_messages, {})) {
    it();
    RunCoordinator(index);
  }
  RemoveLeftCallers(host);
  if (IsDue(now_, index, kCheckInterval)) {
    host.placer->Tick(now_);
  }
  for (const std::string& it : host.placer->TakeUrgentReceivers()) {
    SendState(index, it);
  }
  if (IsDue(now_, index, kStateInterval)) {
    for (const std::string& it : host.placer->InformedHosts()) {
      SendState(index, it);
    }
  }
  if (IsDue(now_, index, kSummaryInterval)) {
    host.coordinator->ExpireHosts(now_);
    SendSummaries(index);
  }
  if (IsDue(now_, index, kReportInterval) &&
      host.placer->Coordinator() == host.name) {
    SendReport(index);
  }
  RunCoordinator(index);
  TakePlacements(index);
}

void FleetSimulation::SendState(int index, const std::string& coordinator) {
  Host& host = hosts_[static_cast<std::size_t>(index)];
  HostMessage message = host.placer->StateFor(coordinator, now_);
  message.host = host.name;
  message.data_centre = host.data_centre;
  message.address = host.name;
  message.process = host.process;
  message.sequence = ++host.sequence;
  message.draining = host.is_draining;
  Deliver(index, IndexOf(coordinator), [this, message](Host& to) {
    to.coordinator->OnHostMessage(message, now_);
  });
}

void FleetSimulation::RunCoordinator(int index) {
  Host& host = hosts_[static_cast<std::size_t>(index)];
  for (const auto& it : host.coordinator->Run(now_)) {
    Deliver(index, IndexOf(it.address), [this, message = it.message](Host& to) {
      to.placer->OnCoordinatorMessage(message, now_);
    });
  }
}

void FleetSimulation::SendSummaries(int index) {
  Host& host = hosts_[static_cast<std::size_t>(index)];
  for (auto& it : host.coordinator->SummariesForHosts(true, now_)) {
    it.message.draining = host.is_draining;
    Deliver(index, IndexOf(it.address), [this, message = it.message](Host& to) {
      to.placer->OnSummary(message, now_);
    });
  }
}

void FleetSimulation::SendReport(int index) {
  Host& host = hosts_[static_cast<std::size_t>(index)];
  const FleetSummary report = host.coordinator->DataCentreReport(now_);
  for (int n = 0; n < host_count(); ++n) {
    const int rank = n % options_.hosts_per_data_centre;
    if (rank < 2 &&
        hosts_[static_cast<std::size_t>(n)].data_centre != host.data_centre) {
      Deliver(index, n, [this, report](Host& to) {
        to.coordinator->OnDataCentreReport(report, now_);
      });
    }
  }
}

void FleetSimulation::TakePlacements(int index) {
  Host& host = hosts_[static_cast<std::size_t>(index)];
  for (const Placement& it : host.placer->Place(now_)) {
    if (requests_.at(it.request).outcome == Outcome::kLost) {
      host.placer->OnNotSent(it);
      continue;
    }
    const auto execution = milliseconds(
        options_.max_execution.count() / 2 +
        static_cast<std::int64_t>(random_.NextBelow(
            static_cast<std::uint64_t>(options_.max_execution.count() / 2))));
    Close(it.request, Outcome::kPlaced);
    if (it.upstream.service != requests_.at(it.request).service) {
      ++misplaced_;
    }
    int& running = running_[it.upstream.id];
    ++running;
    largest_excess_ = std::max(largest_excess_, running - options_.slots);
    Respond(host, it.upstream.id);
    executions_.emplace(now_ + execution, Execution{.host = index,
                                                    .process = host.process,
                                                    .upstream = it.upstream.id,
                                                    .request = it.request});
  }
  for (const Rejection& it : host.placer->Reject(now_)) {
    Close(it.request, Outcome::kRefused);
  }
}

void FleetSimulation::Close(std::uint64_t request, Outcome outcome) {
  Request& known = requests_.at(request);
  if (known.outcome == Outcome::kPlaced) {
    ++placed_twice_;
  }
  if (known.outcome == Outcome::kOpen) {
    longest_wait_ = std::max(
        longest_wait_, duration_cast<milliseconds>(now_ - known.arrived_at));
  }
  known.outcome = outcome;
  ++(outcome == Outcome::kPlaced ? placed_ : refused_);
}

void FleetSimulation::EndExecutions() {
  while (!executions_.empty() && executions_.begin()->first <= now_) {
    const Execution execution = executions_.begin()->second;
    executions_.erase(executions_.begin());
    --running_[execution.upstream];
    Host& host = hosts_[static_cast<std::size_t>(execution.host)];
    if (host.is_up && host.process == execution.process) {
      host.placer->OnEnded(execution.upstream, DispatchResult::kServed, now_);
    }
  }
}

void FleetSimulation::Deliver(int from,
                              int to,
                              std::function<void(Host&)> message) {
  if (to < 0) {
    return;
  }
  Host& receiver = hosts_[static_cast<std::size_t>(to)];
  const bool is_cut =
      partitioned_ && hosts_[static_cast<std::size_t>(from)].data_centre !=
                          receiver.data_centre;
  const bool is_local = from == to;
  if (!is_local) {
    ++messages_;
  }
  if (is_cut || (!is_local && random_.NextBool(options_.loss))) {
    return;
  }
  const auto delay = milliseconds(
      is_local
          ? 0
          : static_cast<std::int64_t>(random_.NextBelow(
                static_cast<std::uint64_t>(options_.max_delay.count()) + 1)));
  const auto apply = [&receiver, message = std::move(message)] {
    if (receiver.is_up) {
      message(receiver);
    }
  };
  messages_in_transit_.emplace(now_ + delay, [this, &receiver, apply] {
    if (now_ < receiver.frozen_until) {
      receiver.held_messages.push_back(apply);
    } else {
      apply();
    }
  });
}

int FleetSimulation::open() const {
  return static_cast<int>(std::count_if(
      requests_.begin(), requests_.end(),
      [](const auto& it) { return it.second.outcome == Outcome::kOpen; }));
}

int FleetSimulation::places_taken() const {
  int taken = 0;
  for (const Host& host : hosts_) {
    for (const Dispatcher* it :
         {&host.placer->dispatcher(), &host.coordinator->dispatcher()}) {
      for (const auto& [upstream, requests] : it->OwnLoad()) {
        taken += host.is_up ? requests : 0;
      }
    }
  }
  return taken;
}

int FleetSimulation::executing() const {
  return static_cast<int>(executions_.size());
}

}  // namespace flamingogauge
