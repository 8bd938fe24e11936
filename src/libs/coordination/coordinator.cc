#include "libs/coordination/coordinator.h"

#include <algorithm>
#include <set>
#include <utility>

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

// A grant whose ticket is still reported as waiting after this time was lost.
constexpr milliseconds kGrantTransit{30};
constexpr std::size_t kMaxKeptRefusals = 64;
// How long a silent host's consumption is kept apart from that of others, so
// that it can continue where it was.
constexpr std::chrono::seconds kHostRetention{60};

}  // namespace

Coordinator::Coordinator(CoordinatorOptions options)
    : options_(std::move(options)), queue_(options_.dispatcher) {}

void Coordinator::SetUpstreams(const std::vector<UpstreamEntry>& upstreams,
                               MonotonicTime now) {
  queue_.SetUpstreams(upstreams, now);
}

void Coordinator::SetHosts(const std::vector<HostEntry>& hosts,
                           MonotonicTime now) {
  RateLimitSharers sharers;
  for (const HostEntry& it : hosts) {
    sharers.data_centres.insert(it.data_centre);
  }
  queue_.SetRateLimitSharers(std::move(sharers), now);
}

void Coordinator::SetRegions(std::map<std::string, std::string> regions) {
  queue_.SetRegions(std::move(regions));
}

void Coordinator::SetWorkspaceWeights(WorkspaceWeights weights) {
  queue_.SetWorkspaceWeights(std::move(weights));
}

void Coordinator::SetMessageLifetime(milliseconds lifetime) {
  lifetime_ = lifetime;
  queue_.SetReportLifetime(lifetime);
}

bool Coordinator::OnHostMessage(const HostMessage& message, MonotonicTime now) {
  HostState& host = hosts_[message.host];
  if (host.process == message.process && message.sequence <= host.sequence) {
    return false;
  }
  if (host.process != message.process) {
    ForgetPlacements(host);
    host = HostState();
    host.process = message.process;
  }
  host.address = message.address;
  host.sequence = message.sequence;
  host.heard_at = now;
  host.draining = message.draining;
  host.is_silent = false;
  host.running = message.running;
  AcceptGrants(message, host);
  queue_.OnPeerLoad(message.host, message.running, now);
  ApplyResults(message, host, now);
  ApplyRateLimits(message.rate_limits, RateLimitSource::kHost, now);
  nearby_usage_.Record(message.host, message.process, message.usage);
  if (message.host == options_.host) {
    nearby_usage_.SetCredits(message.usage);
  }
  RemoveAbsentTickets(message, host);
  RepeatLostReplies(message, host, now);
  for (const PlacementRequest& it : message.requests) {
    AddRequest(message.host, it, host, now);
  }
  return true;
}

void Coordinator::ForgetPlacements(HostState& host) {
  for (const auto& [ticket, id] : host.waiting) {
    queue_.Remove(id);
    tickets_.erase(id);
  }
  host.waiting.clear();
  for (const Grant& it : host.grants) {
    queue_.ReleasePlacement(it.upstream);
  }
  host.grants.clear();
}

// The message counts what was granted as running, or knows that it has ended.
void Coordinator::AcceptGrants(const HostMessage& message, HostState& host) {
  if (message.coordinator_process != options_.process) {
    return;
  }
  while (!host.grants.empty() &&
         host.grants.front().grant.number <= message.last_grant) {
    queue_.ReleasePlacement(host.grants.front().upstream);
    host.grants.pop_front();
  }
}

void Coordinator::ApplyResults(const HostMessage& message,
                               HostState& host,
                               MonotonicTime now) {
  for (const UpstreamResult& it : message.results) {
    if (it.number <= host.last_result) {
      continue;
    }
    host.last_result = it.number;
    queue_.RecordResult(it.upstream, it.result, now);
    if (it.first_event.count() > 0) {
      queue_.OnFirstEvent(it.upstream,
                          std::chrono::duration_cast<Duration>(it.first_event),
                          it.prompt_tokens, now);
    }
    if (it.event_interval.count() > 0) {
      if (const UpstreamView* upstream = queue_.FindByPeerKey(it.upstream)) {
        queue_.OnEventInterval(upstream->entry().id, it.event_interval);
      }
    }
  }
}

void Coordinator::RemoveAbsentTickets(const HostMessage& message,
                                      HostState& host) {
  const std::set<std::uint64_t> waiting(message.waiting.begin(),
                                        message.waiting.end());
  std::erase_if(host.waiting, [this, &waiting](const auto& it) {
    if (waiting.contains(it.first)) {
      return false;
    }
    queue_.Remove(it.second);
    tickets_.erase(it.second);
    return true;
  });
  // Grants that have not arrived and are not used if they do: the host does not
  // know their tickets any more.
  std::erase_if(host.grants, [this, &waiting](const Grant& it) {
    if (waiting.contains(it.grant.ticket)) {
      return false;
    }
    queue_.ReleasePlacement(it.upstream);
    return true;
  });
}

void Coordinator::RepeatLostReplies(const HostMessage& message,
                                    HostState& host,
                                    MonotonicTime now) {
  std::set<std::uint64_t> unanswered(message.waiting.begin(),
                                     message.waiting.end());
  // These are answered by AddRequest.
  for (const PlacementRequest& it : message.requests) {
    unanswered.erase(it.ticket);
  }
  for (const auto& [ticket, id] : host.waiting) {
    unanswered.erase(ticket);
  }
  for (Grant& it : host.grants) {
    if (unanswered.erase(it.grant.ticket) > 0 &&
        now - it.granted_at > kGrantTransit) {
      it.granted_at = now;
      host.reply.grants.push_back(it.grant);
    }
  }
  for (const std::uint64_t ticket : unanswered) {
    if (!RepeatReply(ticket, host)) {
      host.reply.unknown.push_back(ticket);
    }
  }
}

bool Coordinator::RepeatReply(std::uint64_t ticket, HostState& host) {
  for (const Grant& it : host.grants) {
    if (it.grant.ticket == ticket) {
      host.reply.grants.push_back(it.grant);
      return true;
    }
  }
  for (const PlacementRefusal& it : host.refusals) {
    if (it.ticket == ticket) {
      host.reply.refusals.push_back(it);
      return true;
    }
  }
  if (host.waiting.contains(ticket)) {
    host.reply.queued.push_back(ticket);
    return true;
  }
  return false;
}

void Coordinator::AddRequest(const std::string& name,
                             const PlacementRequest& request,
                             HostState& host,
                             MonotonicTime now) {
  if (RepeatReply(request.ticket, host)) {
    return;
  }
  const std::uint64_t id = next_id_++;
  host.waiting.emplace(request.ticket, id);
  tickets_.emplace(id, WaitingTicket{.host = name, .ticket = request.ticket});
  host.reply.queued.push_back(request.ticket);
  WaitingRequest waiting{
      .id = id,
      .service = request.service,
      .priority = request.priority,
      .arrived_at = now - request.waited,
      .due_at = now + request.due_in,
      .start_by = now + request.start_in,
      .deadline = now + request.deadline_in,
      .prompt_tokens = request.prompt_tokens,
      .expected_output_tokens = request.expected_output_tokens,
      .prompt_parts = request.prompt_parts,
      .was_sent = request.was_sent,
      .workspace = request.workspace,
      .returned = request.returned};
  for (const std::uint64_t key : request.excluded_upstreams) {
    if (const UpstreamView* upstream = queue_.FindByPeerKey(key)) {
      waiting.excluded_upstreams.push_back(upstream->entry().id);
    }
  }
  queue_.Enqueue(std::move(waiting));
}

std::vector<AddressedMessage<CoordinatorMessage>> Coordinator::Run(
    MonotonicTime now) {
  GrantPlacements(now);
  RefuseRequests(now);
  std::vector<AddressedMessage<CoordinatorMessage>> messages;
  for (auto& [name, host] : hosts_) {
    CoordinatorMessage reply = std::exchange(host.reply, {});
    // What was granted or refused meanwhile needs no other acknowledgement.
    std::erase_if(reply.queued, [&host = host](std::uint64_t ticket) {
      return !host.waiting.contains(ticket);
    });
    if (reply.grants.empty() && reply.refusals.empty() &&
        reply.queued.empty() && reply.unknown.empty()) {
      continue;
    }
    reply.coordinator = options_.host;
    reply.process = options_.process;
    reply.host_process = host.process;
    messages.push_back({.address = host.address, .message = std::move(reply)});
  }
  return messages;
}

void Coordinator::GrantPlacements(MonotonicTime now) {
  for (const Placement& it : queue_.Place(now)) {
    const auto ticket = tickets_.find(it.request);
    HostState& host = hosts_[ticket->second.host];
    const PlacementGrant grant{.ticket = ticket->second.ticket,
                               .upstream = PeerUpstreamKey(it.upstream.id),
                               .number = ++host.grant_count};
    host.waiting.erase(grant.ticket);
    host.grants.push_back(
        {.grant = grant, .upstream = it.upstream.id, .granted_at = now});
    host.reply.grants.push_back(grant);
    tickets_.erase(ticket);
  }
}

void Coordinator::RefuseRequests(MonotonicTime now) {
  for (const Rejection& it : queue_.Reject(now)) {
    const auto ticket = tickets_.find(it.request);
    HostState& host = hosts_[ticket->second.host];
    const PlacementRefusal refusal{.ticket = ticket->second.ticket,
                                   .retry_after = it.retry_after,
                                   .reason = it.reason};
    host.waiting.erase(refusal.ticket);
    host.reply.refusals.push_back(refusal);
    host.refusals.push_back(refusal);
    if (host.refusals.size() > kMaxKeptRefusals) {
      host.refusals.pop_front();
    }
    tickets_.erase(ticket);
  }
}

void Coordinator::OnDataCentreReport(const FleetSummary& report,
                                     MonotonicTime now) {
  OtherDataCentre& known = others_[report.data_centre];
  const bool is_same_process = known.report.process == report.process;
  if (is_same_process && report.sequence <= known.report.sequence) {
    return;
  }
  // While two hosts of a data centre act as coordinator, one of them is used.
  if (!is_same_process && known.report.process != 0 && !known.report.draining &&
      IsFresh(known.heard_at, now)) {
    return;
  }
  known = {.report = report, .heard_at = now};
  queue_.OnOtherCoordinator(now);
  queue_.OnPeerLoad("data centre " + report.data_centre, report.running, now);
  remote_usage_.Record(report.coordinator, report.process, report.usage);
  for (const UpstreamPaceReport& it : report.paces) {
    queue_.OnPaceReport(it.upstream, it.requests, now - it.age, now);
  }
  ApplyRateLimits(report.rate_limits, RateLimitSource::kCoordinator, now);
}

void Coordinator::ApplyRateLimits(const std::vector<RateLimitReport>& reports,
                                  RateLimitSource source,
                                  MonotonicTime now) {
  for (const RateLimitReport& it : reports) {
    queue_.OnRateLimitReport(it.upstream, FromRateLimitReport(it, source, now),
                             now);
  }
}

bool Coordinator::HasHosts(MonotonicTime now) const {
  return std::any_of(hosts_.begin(), hosts_.end(), [this, now](const auto& it) {
    return IsFresh(it.second.heard_at, now);
  });
}

std::vector<std::string> Coordinator::ExpireHosts(MonotonicTime now) {
  std::vector<std::string> silent;
  for (auto it = hosts_.begin(); it != hosts_.end();) {
    HostState& host = it->second;
    if (!host.is_silent && !IsFresh(host.heard_at, now)) {
      host.is_silent = true;
      ForgetPlacements(host);
      silent.push_back(it->first);
    }
    if (now - host.heard_at > kHostRetention) {
      nearby_usage_.Forget(it->first);
      it = hosts_.erase(it);
    } else {
      ++it;
    }
  }
  return silent;
}

}  // namespace flamingogauge
