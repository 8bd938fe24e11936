// Grants: placement, permits and what is learnt from their outcomes.

#include <algorithm>
#include <tuple>
#include <utility>

#include "libs/kernel/check.h"
#include "libs/scheduling/group_scheduler_p.h"

namespace flamingogauge {
namespace {

// An upstream with fewer samples than this uses its generation's estimates.
constexpr std::uint32_t kOwnSamples = 5;

// How often permits are examined for expiry and lateness.
constexpr std::chrono::milliseconds kPermitCheckInterval{250};

// A request that takes this many times as long as expected is a slow sample
// although it has not ended yet; repeated at each doubling.
constexpr double kOverdueFactor = 3;
constexpr double kOverdueGrace = 1.0;

// A request that cannot be placed now for reasons of its own is considered
// again after this time.
constexpr std::chrono::milliseconds kAsideTime{100};

// Short requests from this tier on are used to try a stopped upstream again.
constexpr Tier kTrialTier = 2;

// What a failure counts as, relative to the expected time: a crash or a lost
// connection stops an upstream at once, a refusal does when it is repeated.
constexpr double kFailureSample = 20;
constexpr double kRefusalSample = 8;

// A long request whose prompt is cached where there is room may go before the
// head of its workspace, among this many, until the head has used this part of
// its time.
constexpr std::size_t kAlternatives = 16;
constexpr double kBypassPart = 0.3;

// A long request waits for an upstream that has this much more of its prompt
// cached, until it has used this part of its time.
constexpr float kMuchMoreCached = 0.3F;
constexpr double kCacheWaitPart = 0.2;

}  // namespace

const RateEstimator& GroupScheduler::Private::RatesOf(std::size_t slot) const {
  const UpstreamState& upstream = upstreams[slot];
  if (upstream.rates.samples() >= kOwnSamples) {
    return upstream.rates;
  }
  const auto it = generations.find(upstream.config.generation);
  return it == generations.end() ? upstream.rates : it->second;
}

Candidate GroupScheduler::Private::MakeCandidate(MonotonicTime now,
                                                 const QueuedRequest& it,
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
    candidate.prefill = it.request.prompt_tokens *
                        (1.0 - static_cast<double>(cached)) /
                        rates.prefill_rate();
    candidate.decode = it.expected_output * rates.Gap(upstream.Running() + 1);
  }
  return candidate;
}

bool GroupScheduler::Private::IsEligible(MonotonicTime now,
                                         const QueuedRequest& it,
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
  const auto& excluded = it.request.excluded;
  if (std::find(excluded.begin(), excluded.end(), upstream.id) !=
      excluded.end()) {
    return false;
  }
  const auto same = running.find(it.request.fingerprint);
  if (it.request.fingerprint != Fingerprint{} && same != running.end() &&
      same->second.slot != candidate.slot) {
    return false;
  }
  if (suspects.Contains(it.request.fingerprint)) {
    // Suspects run one at a time on an upstream, so that a crash tells which.
    return std::none_of(in_use.begin(), in_use.end(), [&](const auto& entry) {
      return entry.second.slot == candidate.slot &&
             suspects.Contains(entry.second.fingerprint);
    });
  }
  return true;
}

double GroupScheduler::Private::IdleService(const QueuedRequest& it) const {
  double best = -1;
  for (std::size_t slot = 0; slot < upstreams.size(); ++slot) {
    const UpstreamState& upstream = upstreams[slot];
    if (upstream.config.leaving || upstream.removed) {
      continue;
    }
    const RateEstimator& rates = RatesOf(slot);
    // The prompt may be cached, so only the output counts as certain.
    const double total =
        config.is_service ? service_time : it.expected_output * rates.Gap(1);
    best = best < 0 ? total : std::min(best, total);
  }
  return best;
}

GroupScheduler::Private::Placement GroupScheduler::Private::TryPlace(
    MonotonicTime now,
    QueuedRequest& it,
    Room room) {
  if (suspects.IsQuarantined(now, it.request.fingerprint)) {
    Refuse(it, RefusalKind::kQuarantined,
           "the same request crashed two upstreams of " + config.target);
    return Placement::kPlaced;
  }
  const std::vector<float> cached =
      prefixes.CachedFractions(now, upstreams.size(), it.request.prefix_hashes);
  std::vector<Candidate> candidates;
  bool any_eligible = false;
  bool any_room = false;
  float cached_elsewhere = 0;
  const double time_left = TimeLeft(now, it);
  for (std::size_t slot = 0; slot < upstreams.size(); ++slot) {
    Candidate candidate = MakeCandidate(now, it, slot, cached[slot]);
    if (!IsEligible(now, it, candidate)) {
      continue;
    }
    any_eligible = true;
    if (!policies.admission->HasRoom(candidate, it, room)) {
      cached_elsewhere = std::max(cached_elsewhere, cached[slot]);
      continue;
    }
    any_room = true;
    if (!policies.admission->IsInTime(candidate.Total(), time_left)) {
      continue;
    }
    if (candidate.straggler == StragglerState::kTrial && !it.is_long &&
        it.request.tier >= kTrialTier) {
      // Placement would avoid the upstream whose recovery is to be tested.
      Grant(now, it, candidate);
      return Placement::kPlaced;
    }
    candidates.push_back(candidate);
  }
  if (!candidates.empty()) {
    const Candidate& chosen =
        candidates[policies.placement->Choose(candidates)];
    if (it.is_long && policies.placement->WaitsForCache() &&
        cached_elsewhere > cached[chosen.slot] + kMuchMoreCached &&
        MayWaitForCache(now, it)) {
      return Placement::kNotNow;
    }
    Grant(now, it, chosen);
    return Placement::kPlaced;
  }
  const bool is_restricted = !it.request.excluded.empty() ||
                             running.contains(it.request.fingerprint) ||
                             suspects.Contains(it.request.fingerprint);
  if (!any_eligible || (!any_room && is_restricted)) {
    return Placement::kNotNow;
  }
  return any_room ? Placement::kTooLate : Placement::kNoRoom;
}

bool GroupScheduler::Private::MayWaitForCache(MonotonicTime now,
                                              const QueuedRequest& it) const {
  const double waited =
      std::chrono::duration<double>(now - it.arrived_at).count();
  return waited < kCacheWaitPart * (waited + TimeLeft(now, it));
}

QueuedRequest* GroupScheduler::Private::PreferCached(MonotonicTime now,
                                                     QueuedRequest* head) {
  const double waited =
      std::chrono::duration<double>(now - head->arrived_at).count();
  if (waited > kBypassPart * (waited + TimeLeft(now, *head))) {
    return head;
  }
  const auto alternatives = policies.order->Alternatives(head, kAlternatives);
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
          policies.admission->HasRoom(candidate, *it, Room::kAll)) {
        best = it;
        best_cached = tokens;
      }
    }
  }
  if (best != head) {
    policies.order->TakeTurn(best);
  }
  return best;
}

void GroupScheduler::Private::Dispatch(MonotonicTime now) {
  bool progress = true;
  while (progress) {
    progress = false;
    // A head without room keeps its lane; more urgent long requests that wait
    // leave only the reserved room to less urgent short ones.
    Room room = Room::kAll;
    bool long_blocked = false;
    for (QueuedRequest* it : policies.order->Heads()) {
      if (it->is_long && long_blocked) {
        continue;
      }
      const bool is_long = it->is_long;
      if (is_long) {
        it = PreferCached(now, it);
      }
      const Placement placed = TryPlace(now, *it, room);
      if (placed == Placement::kPlaced) {
        progress = true;
        break;
      }
      if (placed != Placement::kNoRoom) {
        SetAside(*it, now + kAsideTime);
        progress = true;
        break;
      }
      if (!is_long) {
        return;
      }
      long_blocked = true;
      room = Room::kReservedOnly;
    }
  }
}

void GroupScheduler::Private::Grant(MonotonicTime now,
                                    QueuedRequest& it,
                                    const Candidate& candidate) {
  UpstreamState& upstream = upstreams[candidate.slot];
  CHECK_INVARIANT("I6", !upstream.config.leaving && !upstream.removed,
                  "grant for " + ToString(it.request.id) + " on leaving " +
                      upstream.config.id);
  const PermitId id{.scheduler = scheduler, .sequence = next_permit++};
  const std::uint64_t tokens = it.Tokens();
  const double gap = candidate.rates->Gap(upstream.Running() + 1);
  in_use[id] = {
      .request = it.request.id,
      .host = it.host,
      .slot = candidate.slot,
      .workspace = it.request.workspace,
      .fingerprint = it.request.fingerprint,
      .prompt_tokens = it.request.prompt_tokens,
      .tokens = tokens,
      .is_long = it.is_long,
      .granted_at = now,
      .expires_at = now + timing.permit_time_to_live + timing.permit_margin,
      .first_token = candidate.prefill_backlog + candidate.prefill + gap,
      .total = candidate.Total(),
      .batch = static_cast<double>(upstream.Running() + 1),
      .overdue_factor = kOverdueFactor};
  upstream.OnDispatched(now, tokens, it.is_long, candidate.prefill);
  auto& same = running[it.request.fingerprint];
  same.slot = candidate.slot;
  ++same.count;
  suspects.OnGranted(it.request.fingerprint);
  prefixes.Store(now, static_cast<PrefixMap::Slot>(candidate.slot),
                 it.request.prefix_hashes);
  drain.OnGrant(static_cast<double>(tokens));
  ++grants;
  actions.emplace_back(GrantAction{.permit = id,
                                   .request = it.request.id,
                                   .host = it.host,
                                   .upstream = upstream.config.id,
                                   .address = upstream.config.address});
  const RequestId request = it.request.id;
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
        elapsed > it.overdue_factor * it.total + kOverdueGrace) {
      stragglers.AddSample(now, it.slot, elapsed / (it.total + kOverdueGrace));
      it.overdue_factor *= 2;
    }
  }
  // The order of a hash table is not part of the replayed state.
  std::sort(expired.begin(), expired.end(),
            [](const PermitId& a, const PermitId& b) {
              return std::tie(a.scheduler.high, a.scheduler.low, a.sequence) <
                     std::tie(b.scheduler.high, b.scheduler.low, b.sequence);
            });
  for (const PermitId& id : expired) {
    ++expired_permits;
    Free(now, id);
  }
}

void GroupScheduler::Private::Learn(MonotonicTime now,
                                    const InUse& permit,
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
                                        const InUse& permit,
                                        PermitEnd end) {
  if (end == PermitEnd::kNotExecuted) {
    stragglers.AddSample(now, permit.slot, kRefusalSample);
  } else if (end == PermitEnd::kFailed || end == PermitEnd::kCrashed) {
    stragglers.AddSample(now, permit.slot, kFailureSample);
  }
  if (end != PermitEnd::kCrashed) {
    return;
  }
  // Each fingerprint in flight there is a suspect (design section 11).
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
