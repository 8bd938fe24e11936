#include "libs/scheduling/group_scheduler.h"

#include <algorithm>
#include <utility>

#include "libs/scheduling/group_scheduler_p.h"

namespace flamingogauge {
namespace {

// A request of at least this many tokens counts as long. Questions have some
// hundred tokens and reports a hundredfold.
constexpr std::uint64_t kLongTokens = 1500;

// Answers may be shorter than expected. A deadline counts as impossible only
// when this part of the expected answer already takes too long.
constexpr double kSurePart = 0.5;

// How long a retry waits at least and at most before it is considered, so that
// the retries of one fault do not arrive together.
constexpr std::uint64_t kRetryJitterLowMs = 10;
constexpr std::uint64_t kRetryJitterHighMs = 100;

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
  QueuedRequest& it = *entry->second;
  it.request = std::move(request);
  it.request.tier = std::min<Tier>(it.request.tier, kMaxTiers - 1);
  it.host = std::move(host);
  it.arrival = d_->next_arrival++;
  it.arrived_at = now;
  it.deadline = now + it.request.time_left;
  it.expected_output =
      d_->config.is_service
          ? 0
          : d_->policies.lengths->Estimate(
                it.request, d_->config.default_max_output_tokens);
  it.is_long = !d_->config.is_service && it.Tokens() >= kLongTokens;
  if (d_->config.weights != nullptr) {
    const auto weight = d_->config.weights->find(it.request.workspace);
    it.weight = weight == d_->config.weights->end()
                    ? 1.0
                    : std::max(0.01, weight->second);
  }
  d_->Enqueue(it);
  if (it.request.excluded.empty()) {
    d_->retries.OnFirstAttempt();
  } else if (!d_->retries.TryRetry()) {
    d_->Refuse(it, RefusalKind::kUnavailable,
               "the retry budget of " + d_->config.target + " is spent");
    return;
  } else {
    d_->SetAside(it, now + std::chrono::milliseconds(
                               kRetryJitterLowMs +
                               d_->random.NextBelow(kRetryJitterHighMs -
                                                    kRetryJitterLowMs)));
  }
  const double idle = d_->IdleService(it);
  if (idle < 0) {
    d_->Refuse(it, RefusalKind::kUnavailable,
               "no upstream of " + d_->config.target + " is in use");
  } else if (!d_->policies.admission->IsInTime(kSurePart * idle,
                                               d_->TimeLeft(now, it))) {
    d_->Refuse(it, RefusalKind::kDeadlineImpossible,
               "an idle upstream of " + d_->config.target + " needs about " +
                   std::to_string(idle) + " s, longer than the deadline");
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
  const Private::InUse permit = it->second;
  if (outcome.end == PermitEnd::kCompleted) {
    d_->suspects.OnCompleted(permit.fingerprint);
    d_->Learn(now, permit, outcome);
  } else {
    d_->OnFailure(now, permit, outcome.end);
  }
  d_->Free(now, outcome.permit);
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

void GroupScheduler::Private::Free(MonotonicTime now, const PermitId& permit) {
  const auto it = in_use.find(permit);
  if (it == in_use.end()) {
    return;
  }
  const InUse& used = it->second;
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
  d_->drain.Advance(now, !d_->waiting.empty());
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
  // More upstreams than this are left out, so that the size is bounded.
  constexpr std::size_t kDumpedUpstreams = 64;
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
  const std::size_t shown = std::min(d_->upstreams.size(), kDumpedUpstreams);
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
