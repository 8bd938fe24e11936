#include "plugins/scheduler/scheduler_core.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "plugins/scheduler/document_groups.h"

namespace flamingogauge {
namespace {

// At most this many groups appear in a dump, so that its size is bounded.
constexpr std::size_t kDumpedGroups = 32;

}  // namespace

SchedulerCore::SchedulerCore(SchedulerSettings settings,
                             Incarnation incarnation)
    : settings_(std::move(settings)), incarnation_(incarnation) {}

void SchedulerCore::SetListener(PermitBroker::Listener listener) {
  listener_ = std::move(listener);
}

void SchedulerCore::OnDocument(MonotonicTime now,
                               std::chrono::seconds since_epoch,
                               const Document& document) {
  revision_ = document.revision;
  std::map<std::string, GroupConfig> configs =
      GroupsOfDocument(document, settings_.data_centre, now, since_epoch);
  for (auto& [target, group] : groups_) {
    // A group without upstreams keeps its permits and refuses by deadline.
    configs.try_emplace(target, GroupConfig{.target = target});
  }
  for (auto& [target, config] : configs) {
    auto& group = groups_[target];
    if (group == nullptr) {
      group = std::make_unique<GroupScheduler>(
          std::move(config),
          GroupTiming{.permit_time_to_live = settings_.permit_time_to_live,
                      .permit_margin = settings_.permit_margin},
          incarnation_, settings_.seed);
    } else {
      group->Configure(now, std::move(config));
      Deliver(now, target);
    }
  }
}

void SchedulerCore::Request(MonotonicTime now, PermitRequest request) {
  const auto group = groups_.find(request.target);
  if (group == groups_.end()) {
    RefuseHere(request.id, RefusalKind::kUnavailable,
               "no upstream serves " + request.target);
    return;
  }
  const std::string target = request.target;
  pending_[request.id] = {.target = target, .sent_at = now};
  group->second->Submit(now, std::move(request), settings_.host);
  group->second->Advance(now);
  Deliver(now, target);
}

void SchedulerCore::Cancel(MonotonicTime now, const RequestId& id) {
  const auto pending = pending_.find(id);
  if (pending == pending_.end()) {
    return;
  }
  const auto group = groups_.find(pending->second.target);
  pending_.erase(pending);
  if (group != groups_.end()) {
    group->second->Cancel(now, id);
  }
}

void SchedulerCore::Report(MonotonicTime now, const PermitOutcome& outcome) {
  const auto permit = permits_.find(outcome.permit);
  if (permit == permits_.end()) {
    return;
  }
  const std::string target = permit->second.target;
  permits_.erase(permit);
  const auto group = groups_.find(target);
  if (group != groups_.end()) {
    group->second->OnOutcome(now, outcome);
    group->second->Advance(now);
    Deliver(now, target);
  }
}

void SchedulerCore::OnLoad(MonotonicTime now, const LoadReport& report) {
  for (auto& [target, group] : groups_) {
    group->OnLoad(now, report);
  }
}

void SchedulerCore::OnCache(MonotonicTime now, const CacheEvent& event) {
  for (auto& [target, group] : groups_) {
    group->OnCache(now, event);
  }
}

void SchedulerCore::Advance(MonotonicTime now) {
  if (now - renewed_at_ >= settings_.permit_time_to_live / 2) {
    renewed_at_ = now;
    for (const auto& [id, permit] : permits_) {
      const auto group = groups_.find(permit.target);
      if (group != groups_.end()) {
        group->second->Renew(now, id);
      }
    }
  }
  for (auto& [target, group] : groups_) {
    group->Advance(now);
    Deliver(now, target);
  }
}

void SchedulerCore::Deliver(MonotonicTime now, const std::string& target) {
  GroupScheduler& group = *groups_.at(target);
  for (std::vector<GroupAction> actions = group.TakeActions(); !actions.empty();
       actions = group.TakeActions()) {
    for (const GroupAction& it : actions) {
      if (const auto* grant = std::get_if<GrantAction>(&it)) {
        DeliverGrant(target, *grant);
      } else if (const auto* refused = std::get_if<RefuseAction>(&it)) {
        DeliverRefusal(*refused);
      } else if (const auto* shed = std::get_if<ShedProposal>(&it)) {
        group.ConfirmShed(now, shed->request, "no sibling group");
      }
    }
  }
}

void SchedulerCore::DeliverGrant(const std::string& target,
                                 const GrantAction& grant) {
  const auto pending = pending_.find(grant.request);
  const MonotonicTime sent_at =
      pending == pending_.end() ? MonotonicTime{} : pending->second.sent_at;
  if (pending != pending_.end()) {
    pending_.erase(pending);
  }
  permits_[grant.permit] = {.target = target};
  if (listener_.on_granted) {
    listener_.on_granted(
        {.id = grant.permit,
         .request = grant.request,
         .scheduler_host = settings_.host,
         .upstream = grant.upstream,
         .address = grant.address,
         .expires_at = sent_at + settings_.permit_time_to_live});
  }
}

void SchedulerCore::DeliverRefusal(const RefuseAction& refused) {
  pending_.erase(refused.request);
  if (listener_.on_refused) {
    listener_.on_refused(refused.request, refused.refusal);
  }
}

void SchedulerCore::RefuseHere(const RequestId& id,
                               RefusalKind kind,
                               const std::string& text) {
  pending_.erase(id);
  if (listener_.on_refused) {
    listener_.on_refused(id, {.kind = kind,
                              .run_status = RunStatus::kAttemptNotRun,
                              .message = "schedule: " + text,
                              .retry_after = std::chrono::milliseconds(1000)});
  }
}

std::string SchedulerCore::Dump(MonotonicTime now) const {
  std::string text = "{\"revision\":" + std::to_string(revision_) +
                     ",\"pending\":" + std::to_string(pending_.size()) +
                     ",\"permits\":" + std::to_string(permits_.size()) +
                     ",\"groups\":{";
  std::size_t dumped = 0;
  for (const auto& [target, group] : groups_) {
    if (dumped++ == kDumpedGroups) {
      break;
    }
    text += (dumped == 1 ? "\"" : ",\"") + target + "\":" + group->Dump(now);
  }
  return text + "}}";
}

}  // namespace flamingogauge
