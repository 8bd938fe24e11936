#include "plugins/scheduler/scheduler_core.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "libs/model/rendezvous.h"
#include "plugins/scheduler/document_groups.h"
#include "plugins/scheduler/scheduler_codec.h"

namespace flamingogauge {
namespace {

// Retry-after time of requests refused for a workspace limit.
constexpr std::chrono::milliseconds kLimitRetryAfter{1000};

std::chrono::nanoseconds ClockOf(MonotonicTime now) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
      now.time_since_epoch());
}

// Key of a group for rendezvous hashing.
std::string GroupKey(const std::string& target,
                     const DataCentreId& data_centre_id) {
  return target + "@" + data_centre_id;
}

}  // namespace

SchedulerCore::SchedulerCore(SchedulerSettings settings,
                             Incarnation incarnation,
                             Transmit transmit)
    : settings_(std::move(settings)),
      transmit_(std::move(transmit)),
      entry_(settings_, *this),
      groups_(settings_, incarnation, *this),
      limiter_(incarnation,
               settings_.host,
               settings_.limit_slot < 0
                   ? std::nullopt
                   : std::optional<std::uint32_t>(
                         static_cast<std::uint32_t>(settings_.limit_slot)),
               *this) {}

void SchedulerCore::SetListener(PermitBroker::Listener listener) {
  listener_ = std::move(listener);
  entry_.SetListener({.on_granted = listener_.on_granted,
                      .on_refused = [this](RequestId id, Refusal refusal) {
                        Release(id, 0);
                        if (listener_.on_refused) {
                          listener_.on_refused(id, std::move(refusal));
                        }
                      }});
}

void SchedulerCore::Release(const RequestId& id, std::uint32_t output_tokens) {
  const auto it = admitted_.find(id);
  if (it != admitted_.end()) {
    limiter_.OnEnded(it->second, output_tokens);
    admitted_.erase(it);
  }
}

void SchedulerCore::OnDocument(MonotonicTime now,
                               std::chrono::seconds since_epoch,
                               std::shared_ptr<const Document> document) {
  document_ = std::move(document);
  groups_.SetConfigs(now, GroupsOfDocument(*document_, settings_.data_centre,
                                           now, since_epoch));
  limiter_.SetDocument(document_);
  Assign(now);
  HandleLocal(now);
}

void SchedulerCore::OnMembers(MonotonicTime now,
                              std::shared_ptr<const MemberList> members) {
  members_ = std::move(members);
  Assign(now);
  HandleLocal(now);
}

void SchedulerCore::Assign(MonotonicTime now) {
  // Suspected hosts are skipped before they are declared dead: an unnecessary
  // takeover costs 0.5 s, waiting for the failure detector costs 3 s.
  std::map<DataCentreId, std::vector<HostId>> live;
  live[settings_.data_centre].push_back(settings_.host);
  if (members_ != nullptr) {
    for (const Member& it : *members_) {
      if (it.state == MemberState::kAlive && it.host != settings_.host) {
        live[it.data_centre].push_back(it.host);
      }
    }
  }
  std::map<std::string, std::set<DataCentreId>> data_centres_by_target;
  if (document_ != nullptr) {
    for (const UpstreamSpec& it : document_->upstreams) {
      for (const std::string& target : it.targets) {
        data_centres_by_target[target].insert(
            settings_.data_centre.empty() ? DataCentreId() : it.data_centre);
      }
    }
  }
  EntryRequests::Schedulers schedulers;
  std::set<std::string> mine;
  std::map<std::string, std::vector<HostId>> siblings;
  for (const auto& [target, data_centres] : data_centres_by_target) {
    for (const DataCentreId& it : data_centres) {
      const auto hosts = live.find(it);
      if (hosts == live.end()) {
        continue;
      }
      const HostId first = RendezvousFirst(GroupKey(target, it), hosts->second);
      if (it == settings_.data_centre) {
        schedulers[target] = first;
        if (first == settings_.host) {
          mine.insert(target);
        }
      } else {
        siblings[target].push_back(first);
      }
    }
    // Requests for a target without upstreams in this data centre go to the
    // scheduler in another data centre.
    if (!schedulers.contains(target) && !siblings[target].empty()) {
      schedulers[target] = siblings[target].front();
    }
  }
  const auto& here = live.at(settings_.data_centre);
  limiter_.SetMembers(here);
  groups_.SetAssignment(now, mine, {here.begin(), here.end()},
                        std::move(siblings));
  schedulers_ = schedulers;
  entry_.SetSchedulers(now, schedulers_);
}

void SchedulerCore::Request(MonotonicTime now, PermitRequest request) {
  if (!admitted_.contains(request.id)) {
    const std::optional<std::string> exceeded = limiter_.Admit(now, request);
    if (exceeded.has_value()) {
      if (listener_.on_refused) {
        listener_.on_refused(
            request.id, {.kind = RefusalKind::kWorkspaceLimit,
                         .run_status = RunStatus::kAttemptNotRun,
                         .message = "schedule: workspace " + request.workspace +
                                    " exceeds its limit: " + *exceeded,
                         .retry_after = kLimitRetryAfter});
      }
      return;
    }
    admitted_[request.id] = request.workspace;
  }
  entry_.Request(now, std::move(request));
  HandleLocal(now);
}

void SchedulerCore::Cancel(MonotonicTime now, const RequestId& id) {
  Release(id, 0);
  entry_.Cancel(id);
  HandleLocal(now);
}

void SchedulerCore::Report(MonotonicTime now, const PermitOutcome& outcome) {
  entry_.Report(outcome);
  // Returning a duplicate permit unused does not end its request.
  if (!entry_.HasRequest(outcome.request)) {
    Release(outcome.request, outcome.output_tokens);
  }
  HandleLocal(now);
}

void SchedulerCore::OnLoad(MonotonicTime now, const LoadReport& report) {
  groups_.OnLoad(now, report);
}

void SchedulerCore::OnCache(MonotonicTime now, const CacheEvent& event) {
  groups_.OnCache(now, event);
}

Result<void> SchedulerCore::OnPayload(MonotonicTime now,
                                      const HostId& from,
                                      const std::string& payload) {
  Result<SchedulerBatch> batch = DecodeBatch(payload);
  if (!batch) {
    Error error = batch.error();
    error.peer = from;
    return error;
  }
  groups_.OnClock(from, batch.value().clock);
  for (SchedulerMessage& it : batch.value().messages) {
    Handle(now, from, std::move(it));
  }
  HandleLocal(now);
  return boost::outcome_v2::success();
}

void SchedulerCore::Handle(MonotonicTime now,
                           const HostId& from,
                           SchedulerMessage message) {
  if (const auto* grant = std::get_if<GrantMessage>(&message.body)) {
    entry_.OnGrant(now, from, message.target, *grant);
  } else if (const auto* refuse = std::get_if<RefuseMessage>(&message.body)) {
    entry_.OnRefuse(*refuse);
  } else if (const auto* redirect =
                 std::get_if<RedirectMessage>(&message.body)) {
    entry_.OnRedirect(now, *redirect);
  } else if (auto* limit = std::get_if<LimitMessage>(&message.body)) {
    limiter_.OnMessage(now, from, std::move(*limit));
  } else {
    groups_.OnMessage(now, from, std::move(message));
  }
}

void SchedulerCore::HandleLocal(MonotonicTime now) {
  while (!local_messages_.empty()) {
    SchedulerMessage message = std::move(local_messages_.front());
    local_messages_.pop_front();
    Handle(now, settings_.host, std::move(message));
  }
}

void SchedulerCore::Advance(MonotonicTime now) {
  entry_.Advance(now);
  groups_.Advance(now);
  limiter_.Advance(now);
  HandleLocal(now);
}

void SchedulerCore::Send(const HostId& host, SchedulerMessage message) {
  if (host == settings_.host) {
    local_messages_.push_back(std::move(message));
  } else {
    outbox_[host].push_back(std::move(message));
  }
}

void SchedulerCore::Flush(MonotonicTime now) {
  std::map<HostId, std::vector<SchedulerMessage>> outbox;
  outbox.swap(outbox_);
  for (auto& [host, messages] : outbox) {
    transmit_(host, EncodeBatch({.clock = ClockOf(now),
                                 .messages = std::move(messages)}));
  }
}

bool SchedulerCore::IsIdle() const {
  return entry_.pending_count() == 0 && entry_.permit_count() == 0;
}

std::string SchedulerCore::Dump(MonotonicTime now) const {
  const std::uint64_t revision = document_ == nullptr ? 0 : document_->revision;
  return "{\"revision\":" + std::to_string(revision) +
         ",\"pending\":" + std::to_string(entry_.pending_count()) +
         ",\"permits\":" + std::to_string(entry_.permit_count()) +
         ",\"scheduling\":" + groups_.Dump(now) + "}";
}

}  // namespace flamingogauge
