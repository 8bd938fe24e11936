#include "libs/scheduling/group_scheduler.h"

#include <algorithm>
#include <utility>

#include "libs/scheduling/group_scheduler_p.h"

namespace flamingogauge {
namespace {

// Minimum expected tokens of a long request. Typical short requests have some
// hundred tokens, long ones about 100 times as many.
constexpr std::uint64_t kLongTokens = 1500;

// Outputs may be shorter than expected, so a deadline is considered impossible
// only if this fraction of the expected output would already exceed it.
constexpr double kCertainOutputFraction = 0.5;

// Lower limit of the weight of a workspace.
constexpr double kMinWorkspaceWeight = 0.01;

// Range of the random delay of a retry, so that the retries after one fault are
// spread over time.
constexpr std::uint64_t kMinRetryJitterMs = 10;
constexpr std::uint64_t kMaxRetryJitterMs = 100;

}  // namespace

GroupScheduler::GroupScheduler(GroupConfig config,
                               GroupTiming timing,
                               GroupPolicies policies,
                               Incarnation scheduler,
                               std::uint64_t seed)
    : d_(std::make_unique<Private>(std::move(config),
                                   timing,
                                   std::move(policies),
                                   scheduler,
                                   seed)) {
  d_->ApplyUpstreams();
}

GroupScheduler::~GroupScheduler() = default;

void GroupScheduler::Configure(MonotonicTime now, GroupConfig config) {
  d_->config = std::move(config);
  d_->ApplyUpstreams();
  Advance(now);
}

void GroupScheduler::Private::ApplyUpstreams() {
  for (UpstreamState& it : upstreams) {
    it.removed = true;
  }
  for (const GroupUpstream& it : config.upstreams) {
    const auto [slot, created] = slots.try_emplace(it.id, upstreams.size());
    if (created) {
      upstreams.emplace_back(it);
    } else {
      upstreams[slot->second].config = it;
      upstreams[slot->second].removed = false;
    }
    generations.try_emplace(it.generation);
  }
  stragglers.Resize(upstreams.size());
  retries.SetFraction(config.retry_budget);
}

std::size_t GroupScheduler::Private::SlotOf(const UpstreamId& id) const {
  const auto it = slots.find(id);
  return it == slots.end() ? upstreams.size() : it->second;
}

void GroupScheduler::Submit(MonotonicTime now,
                            PermitRequest request,
                            HostId host) {
  const RequestId id = request.id;
  auto [entry, created] =
      d_->waiting.try_emplace(id, std::make_unique<QueuedRequest>());
  if (!created) {
    return;
  }
  QueuedRequest& queued = *entry->second;
  queued.request = std::move(request);
  queued.request.tier = std::min<Tier>(queued.request.tier, kMaxTiers - 1);
  queued.host = std::move(host);
  queued.arrival = d_->next_arrival++;
  queued.arrived_at = now;
  queued.deadline = now + queued.request.time_left;
  queued.expected_output =
      d_->config.is_service
          ? 0
          : d_->policies.lengths->Estimate(
                queued.request, d_->config.default_max_output_tokens);
  queued.is_long = !d_->config.is_service && queued.Tokens() >= kLongTokens;
  if (d_->config.weights != nullptr) {
    const auto weight = d_->config.weights->find(queued.request.workspace);
    queued.weight = weight == d_->config.weights->end()
                        ? 1.0
                        : std::max(kMinWorkspaceWeight, weight->second);
  }
  d_->Enqueue(queued);
  if (queued.request.excluded.empty()) {
    d_->retries.OnFirstAttempt();
  } else if (!d_->retries.TryRetry()) {
    d_->Refuse(queued, RefusalKind::kUnavailable,
               "the retry budget of " + d_->config.target + " is exhausted");
    return;
  } else {
    d_->Defer(queued, now + std::chrono::milliseconds(
                                kMinRetryJitterMs +
                                d_->random.NextBelow(kMaxRetryJitterMs -
                                                     kMinRetryJitterMs)));
  }
  const double idle = d_->IdleServiceTime(queued);
  if (idle < 0) {
    d_->Refuse(queued, RefusalKind::kUnavailable,
               "no upstream of " + d_->config.target + " is available");
  } else if (!d_->policies.admission->MeetsDeadline(
                 kCertainOutputFraction * idle, d_->TimeLeft(now, queued))) {
    d_->Refuse(queued, RefusalKind::kDeadlineImpossible,
               "an idle upstream of " + d_->config.target +
                   " would need about " + std::to_string(idle) +
                   " s, more than the time left before the deadline");
  }
}

bool GroupScheduler::Cancel(MonotonicTime now, const RequestId& id) {
  const bool found = d_->waiting.contains(id);
  if (found) {
    d_->Erase(id);
    Advance(now);
  }
  return found;
}

void GroupScheduler::OnOutcome(MonotonicTime now,
                               const PermitOutcome& outcome) {
  const auto it = d_->in_use.find(outcome.permit);
  if (it == d_->in_use.end()) {
    return;
  }
  const Private::PermitInUse permit = it->second;
  if (outcome.end == PermitEnd::kCompleted) {
    d_->suspects.OnCompleted(permit.fingerprint);
    d_->Learn(now, permit, outcome);
  } else {
    d_->OnFailure(now, permit, outcome.end);
  }
  d_->ReleasePermit(now, outcome.permit);
}

void GroupScheduler::Renew(MonotonicTime now, const PermitId& permit) {
  const auto it = d_->in_use.find(permit);
  if (it != d_->in_use.end()) {
    it->second.expires_at =
        now + d_->timing.permit_time_to_live + d_->timing.permit_margin;
  }
}

void GroupScheduler::Adopt(MonotonicTime now, const AdoptedPermit& permit) {
  const std::size_t slot = d_->SlotOf(permit.upstream);
  if (slot == d_->upstreams.size() || d_->in_use.contains(permit.permit)) {
    return;
  }
  const PermitRequest request{.workspace = permit.workspace,
                              .prompt_tokens = permit.prompt_tokens,
                              .max_output_tokens = permit.max_output_tokens};
  const std::uint64_t tokens =
      d_->config.is_service
          ? 0
          : permit.prompt_tokens +
                std::uint64_t{d_->policies.lengths->Estimate(
                    request, d_->config.default_max_output_tokens)};
  const bool is_long = tokens >= kLongTokens;
  d_->in_use[permit.permit] = {
      .request = permit.request,
      .host = permit.host,
      .slot = slot,
      .workspace = permit.workspace,
      .fingerprint = permit.fingerprint,
      .prompt_tokens = permit.prompt_tokens,
      .tokens = tokens,
      .is_long = is_long,
      .granted_at = now,
      .expires_at =
          now + d_->timing.permit_time_to_live + d_->timing.permit_margin};
  d_->upstreams[slot].OnDispatched(now, tokens, is_long, 0);
  auto& running = d_->running[permit.fingerprint];
  running.slot = slot;
  ++running.count;
}

void GroupScheduler::Private::ReleasePermit(MonotonicTime now,
                                            const PermitId& permit) {
  const auto it = in_use.find(permit);
  if (it == in_use.end()) {
    return;
  }
  const PermitInUse& used = it->second;
  upstreams[used.slot].OnEnded(now, used.tokens, used.is_long);
  const auto same = running.find(used.fingerprint);
  if (same != running.end() && --same->second.count == 0) {
    running.erase(same);
  }
  in_use.erase(it);
}

void GroupScheduler::CancelHostRequests(MonotonicTime now, const HostId& host) {
  std::vector<RequestId> ids;
  for (const auto& [id, it] : d_->waiting) {
    if (it->host == host) {
      ids.push_back(id);
    }
  }
  for (const RequestId& id : ids) {
    d_->Erase(id);
  }
  Advance(now);
}

void GroupScheduler::OnLoad(MonotonicTime now, const LoadReport& report) {
  const std::size_t slot = d_->SlotOf(report.upstream);
  if (slot < d_->upstreams.size()) {
    d_->upstreams[slot].OnLoad(now, report);
  }
}

void GroupScheduler::OnCache(MonotonicTime now, const CacheEvent& event) {
  const std::size_t slot = d_->SlotOf(event.upstream);
  if (slot < d_->upstreams.size()) {
    const auto index = static_cast<PrefixMap::Slot>(slot);
    d_->prefixes.Evict(now, index, event.evicted);
    d_->prefixes.Store(now, index, event.stored);
  }
}

void GroupScheduler::SetPaused(MonotonicTime now, bool paused) {
  d_->paused = paused;
  Advance(now);
}

void GroupScheduler::Advance(MonotonicTime now) {
  d_->CheckPermits(now);
  d_->ExpireWaiting(now);
  if (d_->paused) {
    return;
  }
  d_->stragglers.Advance(now);
  d_->Dispatch(now);
  d_->queue_wait.Advance(now, !d_->waiting.empty());
  d_->ProposeSheds(now);
}

std::vector<GroupAction> GroupScheduler::TakeActions() {
  return std::exchange(d_->actions, {});
}

std::size_t GroupScheduler::WaitingCount() const {
  return d_->waiting.size();
}

std::size_t GroupScheduler::InUseCount() const {
  return d_->in_use.size();
}

std::string GroupScheduler::Dump(MonotonicTime now) const {
  // Further upstreams are left out to bound the size.
  constexpr std::size_t kMaxDumpedUpstreams = 64;
  std::string text = "{\"waiting\":[";
  for (std::size_t tier = 0; tier < kMaxTiers; ++tier) {
    text += (tier == 0 ? "" : ",") + std::to_string(d_->by_tier[tier].size());
  }
  text += "],\"shed\":[";
  for (std::size_t tier = 0; tier < kMaxTiers; ++tier) {
    text += (tier == 0 ? "" : ",") + std::to_string(d_->shed[tier]);
  }
  text += "],\"late\":[";
  for (std::size_t tier = 0; tier < kMaxTiers; ++tier) {
    text += (tier == 0 ? "" : ",") + std::to_string(d_->late[tier]);
  }
  text += "],\"in_use\":" + std::to_string(d_->in_use.size()) +
          ",\"grants\":" + std::to_string(d_->grants) +
          ",\"expired_permits\":" + std::to_string(d_->expired_permits) +
          ",\"suspects\":" + std::to_string(d_->suspects.size()) +
          ",\"paused\":" + (d_->paused ? "true" : "false") +
          ",\"last_shed_evidence\":\"" + d_->last_shed_evidence +
          "\",\"upstreams\":{";
  const std::size_t shown = std::min(d_->upstreams.size(), kMaxDumpedUpstreams);
  for (std::size_t slot = 0; slot < shown; ++slot) {
    const UpstreamState& it = d_->upstreams[slot];
    text += (slot == 0 ? "\"" : ",\"") + it.config.id +
            "\":{\"running\":" + std::to_string(it.Running()) +
            ",\"tokens\":" + std::to_string(it.Tokens()) +
            ",\"leaving\":" + (it.config.leaving ? "true" : "false") +
            ",\"straggler\":" +
            std::to_string(static_cast<int>(d_->stragglers.state(slot))) +
            ",\"prefill_rate\":" +
            std::to_string(d_->RatesOf(slot).prefill_rate()) +
            ",\"prefill_backlog_s\":" + std::to_string(it.PrefillBacklog(now)) +
            "}";
  }
  return text + "}}";
}

}  // namespace flamingogauge
