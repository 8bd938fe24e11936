// Placement of requests, permits in use, and evaluation of their outcomes.

#include <algorithm>
#include <tuple>
#include <utility>

#include "libs/kernel/check.h"
#include "libs/scheduling/group_scheduler_p.h"

namespace flamingogauge {
namespace {

// With fewer samples of its own, an upstream uses the estimates of its hardware
// generation.
constexpr std::uint32_t kMinOwnSamples = 5;

// Interval at which permits are checked for expiry and overdue requests.
constexpr std::chrono::milliseconds kPermitCheckInterval{250};

// A request that is still running after this multiple of its expected time,
// plus the grace period in seconds, is recorded as a slow sample. This is
// repeated each time the multiple doubles.
constexpr double kOverdueFactor = 3;
constexpr double kOverdueGraceSeconds = 1.0;

// Delay after which a request is considered again if a restriction of its own,
// rather than the capacity of the group, prevents its placement.
constexpr std::chrono::milliseconds kDeferTime{100};

// Short requests of this tier and less urgent ones test whether a stopped
// upstream has recovered.
constexpr Tier kTrialTier = 2;

// Straggler samples for failures, as multiples of the expected time. A crash or
// a lost connection stops an upstream at once, repeated refusals do so as well.
constexpr double kFailureSample = 20;
constexpr double kRefusalSample = 8;

// A long request whose prompt is cached on an upstream with free capacity may
// overtake the head of its workspace. It has to be among the first
// kMaxAlternatives requests, and the head may have waited for at most
// kBypassTimeFraction of the time between its arrival and its deadline.
constexpr std::size_t kMaxAlternatives = 16;
constexpr double kBypassTimeFraction = 0.3;

// A long request waits for an occupied upstream if the cached fraction of its
// prompt is larger there by kCacheAdvantage, for at most kCacheWaitTimeFraction
// of the time between its arrival and its deadline.
constexpr float kCacheAdvantage = 0.3F;
constexpr double kCacheWaitTimeFraction = 0.2;

}  // namespace

const RateEstimator& GroupScheduler::Private::RatesOf(std::size_t slot) const {
  const UpstreamState& upstream = upstreams[slot];
  if (upstream.rates.samples() >= kMinOwnSamples) {
    return upstream.rates;
  }
  const auto it = generations.find(upstream.config.generation);
  return it == generations.end() ? upstream.rates : it->second;
}

Candidate GroupScheduler::Private::MakeCandidate(MonotonicTime now,
                                                 const QueuedRequest& queued,
                                                 std::size_t slot,
                                                 float cached) const {
  const UpstreamState& upstream = upstreams[slot];
  const RateEstimator& rates = RatesOf(slot);
  Candidate candidate{.slot = slot,
                      .upstream = &upstream,
                      .rates = &rates,
                      .straggler = stragglers.state(slot),
                      .prefill_backlog = upstream.PrefillBacklog(now),
                      .decode = service_time};
  if (!config.is_service) {
    candidate.prefill = queued.request.prompt_tokens *
                        (1.0 - static_cast<double>(cached)) /
                        rates.prefill_rate();
    candidate.decode =
        queued.expected_output * rates.Gap(upstream.Running() + 1);
  }
  return candidate;
}

bool GroupScheduler::Private::IsEligible(MonotonicTime now,
                                         const QueuedRequest& queued,
                                         const Candidate& candidate) const {
  const GroupUpstream& upstream = candidate.upstream->config;
  if (upstream.leaving || candidate.upstream->removed ||
      candidate.straggler == StragglerState::kStopped) {
    return false;
  }
  if (upstream.retires_at.has_value() &&
      std::chrono::duration<double>(*upstream.retires_at - now).count() <
          candidate.Total()) {
    return false;
  }
  const auto& excluded = queued.request.excluded;
  if (std::find(excluded.begin(), excluded.end(), upstream.id) !=
      excluded.end()) {
    return false;
  }
  const auto same = running.find(queued.request.fingerprint);
  if (queued.request.fingerprint != Fingerprint{} && same != running.end() &&
      same->second.slot != candidate.slot) {
    return false;
  }
  if (suspects.Contains(queued.request.fingerprint)) {
    // An upstream runs at most one suspect at a time, so that a crash
    // identifies the request that caused it.
    return std::none_of(in_use.begin(), in_use.end(), [&](const auto& entry) {
      return entry.second.slot == candidate.slot &&
             suspects.Contains(entry.second.fingerprint);
    });
  }
  return true;
}

double GroupScheduler::Private::IdleServiceTime(
    const QueuedRequest& queued) const {
  double best = -1;
  for (std::size_t slot = 0; slot < upstreams.size(); ++slot) {
    const UpstreamState& upstream = upstreams[slot];
    if (upstream.config.leaving || upstream.removed) {
      continue;
    }
    const RateEstimator& rates = RatesOf(slot);
    // Prefill is left out because the prompt may be cached.
    const double total = config.is_service
                             ? service_time
                             : queued.expected_output * rates.Gap(1);
    best = best < 0 ? total : std::min(best, total);
  }
  return best;
}

GroupScheduler::Private::PlacementResult GroupScheduler::Private::TryPlace(
    MonotonicTime now,
    QueuedRequest& queued,
    AdmissionScope scope) {
  if (suspects.IsQuarantined(now, queued.request.fingerprint)) {
    Refuse(queued, RefusalKind::kQuarantined,
           "the same request was in flight at two upstream crashes of " +
               config.target);
    return PlacementResult::kResolved;
  }
  const std::vector<float> cached = prefixes.CachedFractions(
      now, upstreams.size(), queued.request.prefix_hashes);
  std::vector<Candidate> candidates;
  bool any_eligible = false;
  bool any_capacity = false;
  float cached_elsewhere = 0;
  const double time_left = TimeLeft(now, queued);
  for (std::size_t slot = 0; slot < upstreams.size(); ++slot) {
    Candidate candidate = MakeCandidate(now, queued, slot, cached[slot]);
    if (!IsEligible(now, queued, candidate)) {
      continue;
    }
    any_eligible = true;
    if (!policies.admission->CanAdmit(candidate, queued, scope)) {
      cached_elsewhere = std::max(cached_elsewhere, cached[slot]);
      continue;
    }
    any_capacity = true;
    if (!policies.admission->MeetsDeadline(candidate.Total(), time_left)) {
      continue;
    }
    if (candidate.straggler == StragglerState::kTrial && !queued.is_long &&
        queued.request.tier >= kTrialTier) {
      // Bypasses the placement policy, which would avoid an upstream whose
      // recovery is to be tested.
      Grant(now, queued, candidate);
      return PlacementResult::kResolved;
    }
    candidates.push_back(candidate);
  }
  if (!candidates.empty()) {
    const Candidate& chosen =
        candidates[policies.placement->Choose(candidates)];
    if (queued.is_long && policies.placement->WaitsForCache() &&
        cached_elsewhere > cached[chosen.slot] + kCacheAdvantage &&
        MayWaitForCache(now, queued)) {
      return PlacementResult::kRetryLater;
    }
    Grant(now, queued, chosen);
    return PlacementResult::kResolved;
  }
  const bool is_restricted = !queued.request.excluded.empty() ||
                             running.contains(queued.request.fingerprint) ||
                             suspects.Contains(queued.request.fingerprint);
  if (!any_eligible || (!any_capacity && is_restricted)) {
    return PlacementResult::kRetryLater;
  }
  return any_capacity ? PlacementResult::kTooLate
                      : PlacementResult::kNoCapacity;
}

bool GroupScheduler::Private::MayWaitForCache(
    MonotonicTime now,
    const QueuedRequest& queued) const {
  const double waited =
      std::chrono::duration<double>(now - queued.arrived_at).count();
  return waited < kCacheWaitTimeFraction * (waited + TimeLeft(now, queued));
}

QueuedRequest* GroupScheduler::Private::PreferCached(MonotonicTime now,
                                                     QueuedRequest* head) {
  const double waited =
      std::chrono::duration<double>(now - head->arrived_at).count();
  if (waited > kBypassTimeFraction * (waited + TimeLeft(now, *head))) {
    return head;
  }
  const auto alternatives =
      policies.order->Alternatives(head, kMaxAlternatives);
  if (alternatives.size() < 2) {
    return head;
  }
  QueuedRequest* best = head;
  double best_cached = 0;
  for (QueuedRequest* it : alternatives) {
    const std::vector<float> cached = prefixes.CachedFractions(
        now, upstreams.size(), it->request.prefix_hashes);
    for (std::size_t slot = 0; slot < upstreams.size(); ++slot) {
      const double tokens =
          static_cast<double>(cached[slot]) * it->request.prompt_tokens;
      if (tokens <= best_cached) {
        continue;
      }
      const Candidate candidate = MakeCandidate(now, *it, slot, cached[slot]);
      if (IsEligible(now, *it, candidate) &&
          policies.admission->CanAdmit(candidate, *it, AdmissionScope::kAll)) {
        best = it;
        best_cached = tokens;
      }
    }
  }
  if (best != head) {
    policies.order->PromoteToHead(best);
  }
  return best;
}

void GroupScheduler::Private::Dispatch(MonotonicTime now) {
  bool progress = true;
  while (progress) {
    progress = false;
    // A head without capacity blocks its queue. While a more urgent long
    // request waits, less urgent short requests may use only the reserved
    // capacity.
    AdmissionScope scope = AdmissionScope::kAll;
    bool long_blocked = false;
    for (QueuedRequest* it : policies.order->Heads()) {
      if (it->is_long && long_blocked) {
        continue;
      }
      const bool is_long = it->is_long;
      if (is_long) {
        it = PreferCached(now, it);
      }
      const PlacementResult result = TryPlace(now, *it, scope);
      if (result == PlacementResult::kResolved) {
        progress = true;
        break;
      }
      if (result != PlacementResult::kNoCapacity) {
        Defer(*it, now + kDeferTime);
        progress = true;
        break;
      }
      if (!is_long) {
        return;
      }
      long_blocked = true;
      scope = AdmissionScope::kReservedOnly;
    }
  }
}

void GroupScheduler::Private::Grant(MonotonicTime now,
                                    QueuedRequest& queued,
                                    const Candidate& candidate) {
  UpstreamState& upstream = upstreams[candidate.slot];
  CHECK_INVARIANT("I6", !upstream.config.leaving && !upstream.removed,
                  "request " + ToString(queued.request.id) +
                      " was granted on leaving or removed upstream " +
                      upstream.config.id);
  const PermitId id{.scheduler = scheduler, .sequence = next_permit++};
  const std::uint64_t tokens = queued.Tokens();
  const double gap = candidate.rates->Gap(upstream.Running() + 1);
  in_use[id] = {
      .request = queued.request.id,
      .host = queued.host,
      .slot = candidate.slot,
      .workspace = queued.request.workspace,
      .fingerprint = queued.request.fingerprint,
      .prompt_tokens = queued.request.prompt_tokens,
      .tokens = tokens,
      .is_long = queued.is_long,
      .granted_at = now,
      .expires_at = now + timing.permit_time_to_live + timing.permit_margin,
      .first_token = candidate.prefill_backlog + candidate.prefill + gap,
      .total = candidate.Total(),
      .batch = static_cast<double>(upstream.Running() + 1),
      .overdue_factor = kOverdueFactor};
  upstream.OnDispatched(now, tokens, queued.is_long, candidate.prefill);
  auto& same = running[queued.request.fingerprint];
  same.slot = candidate.slot;
  ++same.count;
  suspects.OnGranted(queued.request.fingerprint);
  prefixes.Store(now, static_cast<PrefixMap::Slot>(candidate.slot),
                 queued.request.prefix_hashes);
  queue_wait.OnGrant(static_cast<double>(tokens));
  ++grants;
  actions.emplace_back(GrantAction{.permit = id,
                                   .request = queued.request.id,
                                   .host = queued.host,
                                   .upstream = upstream.config.id,
                                   .address = upstream.config.address});
  const RequestId request = queued.request.id;
  Erase(request);
}

void GroupScheduler::Private::CheckPermits(MonotonicTime now) {
  if (now - permits_checked_at < kPermitCheckInterval) {
    return;
  }
  permits_checked_at = now;
  std::vector<PermitId> expired;
  for (auto& [id, it] : in_use) {
    if (it.expires_at <= now) {
      expired.push_back(id);
    }
    const double elapsed =
        std::chrono::duration<double>(now - it.granted_at).count();
    if (it.overdue_factor > 0 &&
        elapsed > it.overdue_factor * it.total + kOverdueGraceSeconds) {
      stragglers.AddSample(now, it.slot,
                           elapsed / (it.total + kOverdueGraceSeconds));
      it.overdue_factor *= 2;
    }
  }
  // Sorted because the iteration order of a hash table is not deterministic in
  // a replay.
  std::sort(expired.begin(), expired.end(),
            [](const PermitId& a, const PermitId& b) {
              return std::tie(a.scheduler.high, a.scheduler.low, a.sequence) <
                     std::tie(b.scheduler.high, b.scheduler.low, b.sequence);
            });
  for (const PermitId& id : expired) {
    ++expired_permits;
    ReleasePermit(now, id);
  }
}

void GroupScheduler::Private::Learn(MonotonicTime now,
                                    const PermitInUse& permit,
                                    const PermitOutcome& outcome) {
  UpstreamState& upstream = upstreams[permit.slot];
  const double total = ToSeconds(outcome.total_time);
  if (config.is_service) {
    constexpr double kSmoothing = 0.1;
    service_time += kSmoothing * (total - service_time);
    return;
  }
  policies.lengths->Learn(permit.workspace, outcome.prompt_tokens,
                          outcome.output_tokens);
  const double first = ToSeconds(outcome.time_to_first_token);
  RateEstimator& generation = generations[upstream.config.generation];
  const bool normal = stragglers.state(permit.slot) == StragglerState::kNormal;
  if (first > 0 && permit.first_token > 0) {
    upstream.rates.LearnFirstToken(permit.first_token, first);
    if (normal) {
      generation.LearnFirstToken(permit.first_token, first);
    }
  }
  if (outcome.output_tokens > 1 && total > first) {
    const double gap = (total - first) / (outcome.output_tokens - 1);
    const double batch =
        (permit.batch + static_cast<double>(upstream.Running())) / 2;
    const double ratio = gap / generation.Gap(batch);
    upstream.rates.LearnGap(batch, gap);
    if (normal) {
      generation.LearnGap(batch, gap);
    }
    stragglers.AddSample(now, permit.slot, ratio);
  }
}

void GroupScheduler::Private::OnFailure(MonotonicTime now,
                                        const PermitInUse& permit,
                                        PermitEnd end) {
  if (end == PermitEnd::kNotExecuted) {
    stragglers.AddSample(now, permit.slot, kRefusalSample);
  } else if (end == PermitEnd::kFailed || end == PermitEnd::kCrashed) {
    stragglers.AddSample(now, permit.slot, kFailureSample);
  }
  if (end != PermitEnd::kCrashed) {
    return;
  }
  // Each fingerprint in flight on the upstream becomes a suspect (design
  // section 11).
  std::vector<Fingerprint> quarantined;
  for (const auto& [id, it] : in_use) {
    if (it.slot == permit.slot && it.fingerprint != Fingerprint{} &&
        suspects.OnCrash(now, it.fingerprint, now + config.quarantine)) {
      quarantined.push_back(it.fingerprint);
    }
  }
  std::sort(quarantined.begin(), quarantined.end(),
            [](const Fingerprint& a, const Fingerprint& b) {
              return std::tie(a.high, a.low) < std::tie(b.high, b.low);
            });
  for (const Fingerprint& it : quarantined) {
    actions.emplace_back(QuarantineAction{.fingerprint = it});
  }
}

}  // namespace flamingogauge
