#include "plugins/scheduler/group_host.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "libs/kernel/check.h"

namespace flamingogauge {
namespace {

// A sibling that does not answer a ShedQuery within this time counts as
// unreachable (design section 5).
constexpr std::chrono::milliseconds kSiblingTimeout{200};

// A new scheduler starts to grant after this time even if some hosts have not
// reported (design section 7).
constexpr std::chrono::milliseconds kTakeoverTimeout{500};

// Maximum number of groups in a dump, which bounds its size.
constexpr std::size_t kMaxDumpedGroups = 32;

}  // namespace

GroupHost::GroupHost(const SchedulerSettings& settings,
                     Incarnation incarnation,
                     MessageSender& sender)
    : settings_(settings), incarnation_(incarnation), sender_(sender) {}

void GroupHost::SetConfigs(MonotonicTime now,
                           std::map<std::string, GroupConfig> configs) {
  configs_ = std::move(configs);
  for (auto& [target, hosted] : groups_) {
    const auto config = configs_.find(target);
    // A group without upstreams keeps its issued permits and refuses all other
    // requests.
    hosted.group->Configure(now, config == configs_.end()
                                     ? GroupConfig{.target = target}
                                     : config->second);
    Deliver(now, target, hosted);
  }
}

GroupHost::HostedGroup* GroupHost::Find(MonotonicTime now,
                                        const std::string& target) {
  const auto known = groups_.find(target);
  if (known != groups_.end()) {
    return &known->second;
  }
  const auto config = configs_.find(target);
  if (config == configs_.end()) {
    return nullptr;
  }
  // A host with a newer member list may send requests before this host learns
  // that it is the scheduler, so the group is created on demand.
  HostedGroup& hosted = groups_[target];
  hosted.group = std::make_unique<GroupScheduler>(
      config->second,
      GroupTiming{.permit_time_to_live = settings_.permit_time_to_live,
                  .permit_margin = settings_.permit_margin},
      DefaultPolicies(config->second), incarnation_, settings_.seed);
  BeginTakeover(now, hosted);
  return &hosted;
}

void GroupHost::BeginTakeover(MonotonicTime now, HostedGroup& hosted) {
  hosted.is_paused = true;
  hosted.paused_until = now + kTakeoverTimeout;
  hosted.group->SetPaused(now, true);
  ++takeovers_;
}

void GroupHost::CheckTakeover(MonotonicTime now,
                              const std::string& target,
                              HostedGroup& hosted) {
  const bool all_reported =
      hosted.is_mine &&
      std::includes(hosted.reported.begin(), hosted.reported.end(),
                    members_.begin(), members_.end());
  if (hosted.is_paused && (all_reported || now >= hosted.paused_until)) {
    hosted.is_paused = false;
    hosted.group->SetPaused(now, false);
    Deliver(now, target, hosted);
  }
}

void GroupHost::SetAssignment(
    MonotonicTime now,
    const std::set<std::string>& mine,
    const std::set<HostId>& members,
    std::map<std::string, std::vector<HostId>> siblings) {
  for (const HostId& it : members_) {
    if (!members.contains(it)) {
      for (auto& [target, hosted] : groups_) {
        hosted.group->CancelHostRequests(now, it);
        hosted.reported.erase(it);
      }
    }
  }
  members_ = members;
  siblings_ = std::move(siblings);
  for (const std::string& target : mine) {
    HostedGroup* hosted = Find(now, target);
    if (hosted != nullptr && !hosted->is_mine) {
      hosted->is_mine = true;
      if (!hosted->is_paused) {
        BeginTakeover(now, *hosted);
      }
    }
  }
  for (auto& [target, hosted] : groups_) {
    if (hosted.is_mine && !mine.contains(target)) {
      hosted.is_mine = false;
      hosted.reported.clear();
    }
    CheckTakeover(now, target, hosted);
  }
}

void GroupHost::OnClock(const HostId& host, std::chrono::nanoseconds clock) {
  clocks_[host] = clock;
}

void GroupHost::OnMessage(MonotonicTime now,
                          const HostId& from,
                          SchedulerMessage message) {
  if (const auto* answer = std::get_if<ShedAnswerMessage>(&message.body)) {
    OnShedAnswer(now, from, *answer);
    return;
  }
  HostedGroup* hosted = Find(now, message.target);
  if (const auto* query = std::get_if<ShedQueryMessage>(&message.body)) {
    const bool offers =
        hosted != nullptr && hosted->group->CanOffer(now, query->tier);
    sender_.Send(from, {.target = message.target,
                        .body = ShedAnswerMessage{query->query, offers}});
    return;
  }
  if (hosted == nullptr) {
    if (auto* request = std::get_if<PermitRequest>(&message.body)) {
      sender_.Send(
          from,
          {.target = message.target,
           .body = RefuseMessage{
               request->id,
               {.kind = RefusalKind::kUnavailable,
                .run_status = RunStatus::kAttemptNotRun,
                .message = "schedule: no upstream serves " + message.target}}});
    }
    return;
  }
  GroupScheduler& group = *hosted->group;
  if (auto* request = std::get_if<PermitRequest>(&message.body)) {
    group.Submit(now, std::move(*request), from);
  } else if (const auto* cancel = std::get_if<CancelMessage>(&message.body)) {
    group.Cancel(now, cancel->request);
  } else if (const auto* outcome = std::get_if<PermitOutcome>(&message.body)) {
    group.OnOutcome(now, *outcome);
  } else if (const auto* renew = std::get_if<RenewMessage>(&message.body)) {
    for (const PermitId& it : renew->permits) {
      group.Renew(now, it);
    }
    return;
  } else if (auto* report = std::get_if<ReportMessage>(&message.body)) {
    for (AdoptedPermit& it : report->in_use) {
      it.host = from;
      group.Adopt(now, it);
    }
    for (PermitRequest& it : report->waiting) {
      group.Submit(now, std::move(it), from);
    }
    hosted->reported.insert(from);
    CheckTakeover(now, message.target, *hosted);
  }
  group.Advance(now);
  Deliver(now, message.target, *hosted);
}

void GroupHost::Deliver(MonotonicTime now,
                        const std::string& target,
                        HostedGroup& hosted) {
  for (auto actions = hosted.group->TakeActions(); !actions.empty();
       actions = hosted.group->TakeActions()) {
    std::vector<ShedProposal> proposals;
    for (const GroupAction& it : actions) {
      if (const auto* grant = std::get_if<GrantAction>(&it)) {
        const auto clock = clocks_.find(grant->host);
        sender_.Send(grant->host, {.target = target,
                                   .body = GrantMessage{
                                       .permit = grant->permit,
                                       .request = grant->request,
                                       .upstream = grant->upstream,
                                       .address = grant->address,
                                       .echo = clock == clocks_.end()
                                                   ? std::chrono::nanoseconds(0)
                                                   : clock->second}});
      } else if (const auto* refused = std::get_if<RefuseAction>(&it)) {
        sender_.Send(refused->host, {.target = target,
                                     .body = RefuseMessage{refused->request,
                                                           refused->refusal}});
      } else if (const auto* shed = std::get_if<ShedProposal>(&it)) {
        proposals.push_back(*shed);
      } else if (const auto* crashed = std::get_if<QuarantineAction>(&it)) {
        if (on_quarantine_) {
          on_quarantine_(crashed->fingerprint);
        }
      }
    }
    if (!proposals.empty()) {
      QuerySiblings(now, target, std::move(proposals));
    }
  }
}

void GroupHost::QuerySiblings(MonotonicTime now,
                              const std::string& target,
                              std::vector<ShedProposal> proposals) {
  const std::uint64_t query = next_query_++;
  ShedRound& round = rounds_[query];
  round.target = target;
  round.tier = proposals.front().tier;
  round.asked_at = now;
  round.proposals = std::move(proposals);
  for (const HostId& it : siblings_[target]) {
    round.unanswered.insert(it);
    sender_.Send(
        it, {.target = target, .body = ShedQueryMessage{query, round.tier}});
  }
  round.siblings = round.unanswered.size();
  if (round.unanswered.empty()) {
    FinishRound(now, query);
  }
}

void GroupHost::OnShedAnswer(MonotonicTime now,
                             const HostId& from,
                             const ShedAnswerMessage& answer) {
  const auto it = rounds_.find(answer.query);
  if (it == rounds_.end() || it->second.unanswered.erase(from) == 0) {
    return;
  }
  if (answer.offers) {
    it->second.offers.push_back(from);
  }
  if (it->second.unanswered.empty()) {
    FinishRound(now, answer.query);
  }
}

void GroupHost::FinishRound(MonotonicTime now, std::uint64_t query) {
  const ShedRound round = std::move(rounds_.at(query));
  rounds_.erase(query);
  const auto hosted = groups_.find(round.target);
  if (hosted == groups_.end()) {
    return;
  }
  GroupScheduler& group = *hosted->second.group;
  if (!round.offers.empty()) {
    // Requests are distributed round-robin over the siblings that made an
    // offer. A sibling that cannot serve a request after all runs its own shed
    // round before it refuses.
    std::size_t next = 0;
    for (const ShedProposal& it : round.proposals) {
      if (group.Cancel(now, it.request)) {
        ++redirects_;
        sender_.Send(
            it.host,
            {.target = round.target,
             .body = RedirectMessage{
                 it.request, round.offers[next++ % round.offers.size()]}});
      }
    }
    return;
  }
  CHECK_INVARIANT(
      "I2", round.unanswered.empty() || now - round.asked_at >= kSiblingTimeout,
      "shed of tier " + std::to_string(round.tier) + " for " + round.target +
          " before all siblings answered");
  const std::string evidence =
      std::to_string(round.siblings - round.unanswered.size()) + " of " +
      std::to_string(round.siblings) + " answered without an offer in " +
      std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                         now - round.asked_at)
                         .count()) +
      " ms";
  for (const ShedProposal& it : round.proposals) {
    group.ConfirmShed(now, it.request, evidence);
  }
}

void GroupHost::OnLoad(MonotonicTime now, const LoadReport& report) {
  for (auto& [target, hosted] : groups_) {
    hosted.group->OnLoad(now, report);
  }
}

void GroupHost::OnCache(MonotonicTime now, const CacheEvent& event) {
  for (auto& [target, hosted] : groups_) {
    hosted.group->OnCache(now, event);
  }
}

void GroupHost::Advance(MonotonicTime now) {
  std::vector<std::uint64_t> due;
  for (const auto& [query, round] : rounds_) {
    if (now - round.asked_at >= kSiblingTimeout) {
      due.push_back(query);
    }
  }
  for (const std::uint64_t it : due) {
    FinishRound(now, it);
  }
  for (auto& [target, hosted] : groups_) {
    CheckTakeover(now, target, hosted);
    hosted.group->Advance(now);
    Deliver(now, target, hosted);
  }
}

std::string GroupHost::Dump(MonotonicTime now) const {
  std::string text = "{\"takeovers\":" + std::to_string(takeovers_) +
                     ",\"redirects\":" + std::to_string(redirects_) +
                     ",\"groups\":{";
  std::size_t dumped = 0;
  for (const auto& [target, hosted] : groups_) {
    if (dumped++ == kMaxDumpedGroups) {
      break;
    }
    text += (dumped == 1 ? "\"" : ",\"") + target +
            "\":{\"is_mine\":" + (hosted.is_mine ? "true" : "false") +
            ",\"group\":" + hosted.group->Dump(now) + "}";
  }
  return text + "}}";
}

}  // namespace flamingogauge
