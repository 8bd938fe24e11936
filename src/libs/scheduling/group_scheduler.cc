#include "libs/scheduling/group_scheduler.h"

#include <deque>
#include <unordered_map>
#include <utility>

#include "libs/kernel/check.h"

namespace flamingogauge {
namespace {

struct Waiting {
  PermitRequest request;
  HostId host;
  MonotonicTime deadline;
};

struct InUse {
  RequestId request;
  UpstreamId upstream;
  MonotonicTime expires_at;
};

}  // namespace

struct GroupScheduler::Private {
  GroupConfig config;
  GroupTiming timing;
  Incarnation scheduler;
  std::uint64_t next_permit = 1;
  bool paused = false;
  std::array<std::deque<Waiting>, kMaxTiers> queues;
  std::unordered_map<PermitId, InUse> in_use;
  std::unordered_map<UpstreamId, std::uint32_t> outstanding;
  std::vector<GroupAction> actions;

  const GroupUpstream* Choose(const PermitRequest& request);
  void Grant(MonotonicTime now, Waiting waiting, const GroupUpstream& upstream);
  void Expire(MonotonicTime now);
  void Free(const PermitId& permit);
};

const GroupUpstream* GroupScheduler::Private::Choose(
    const PermitRequest& request) {
  const GroupUpstream* best = nullptr;
  for (const GroupUpstream& it : config.upstreams) {
    bool excluded = it.leaving || outstanding[it.id] >= it.max_concurrency;
    for (const UpstreamId& id : request.excluded) {
      excluded = excluded || id == it.id;
    }
    if (!excluded &&
        (best == nullptr || outstanding[it.id] < outstanding[best->id])) {
      best = &it;
    }
  }
  return best;
}

void GroupScheduler::Private::Grant(MonotonicTime now,
                                    Waiting waiting,
                                    const GroupUpstream& upstream) {
  CHECK_INVARIANT("I6", !upstream.leaving,
                  "grant for " + ToString(waiting.request.id) + " on leaving " +
                      upstream.id);
  const PermitId id{.scheduler = scheduler, .sequence = next_permit++};
  in_use[id] = {
      .request = waiting.request.id,
      .upstream = upstream.id,
      .expires_at = now + timing.permit_time_to_live + timing.permit_margin};
  ++outstanding[upstream.id];
  actions.emplace_back(GrantAction{.permit = id,
                                   .request = waiting.request.id,
                                   .host = std::move(waiting.host),
                                   .upstream = upstream.id,
                                   .address = upstream.address});
}

void GroupScheduler::Private::Free(const PermitId& permit) {
  const auto it = in_use.find(permit);
  if (it != in_use.end()) {
    --outstanding[it->second.upstream];
    in_use.erase(it);
  }
}

void GroupScheduler::Private::Expire(MonotonicTime now) {
  std::vector<PermitId> expired;
  for (const auto& [id, permit] : in_use) {
    if (permit.expires_at <= now) {
      expired.push_back(id);
    }
  }
  for (const PermitId& id : expired) {
    Free(id);
  }
  for (auto& queue : queues) {
    std::erase_if(queue, [&](const Waiting& it) {
      if (it.deadline > now) {
        return false;
      }
      actions.emplace_back(RefuseAction{
          .request = it.request.id,
          .host = it.host,
          .tier = it.request.tier,
          .refusal = {.kind = RefusalKind::kDeadlineExceeded,
                      .run_status = RunStatus::kAttemptNotRun,
                      .message = "no upstream of " + config.target +
                                 " had room before the deadline"}});
      return true;
    });
  }
}

GroupScheduler::GroupScheduler(GroupConfig config,
                               GroupTiming timing,
                               Incarnation scheduler,
                               std::uint64_t seed)
    : d_(std::make_unique<Private>()) {
  (void)seed;
  d_->config = std::move(config);
  d_->timing = timing;
  d_->scheduler = scheduler;
}

GroupScheduler::~GroupScheduler() = default;

void GroupScheduler::Configure(MonotonicTime now, GroupConfig config) {
  d_->config = std::move(config);
  Advance(now);
}

void GroupScheduler::Submit(MonotonicTime now,
                            PermitRequest request,
                            HostId host) {
  const std::size_t tier = std::min<std::size_t>(request.tier, kMaxTiers - 1);
  const MonotonicTime deadline = now + request.time_left;
  d_->queues[tier].push_back({.request = std::move(request),
                              .host = std::move(host),
                              .deadline = deadline});
}

bool GroupScheduler::Cancel(MonotonicTime now, const RequestId& id) {
  (void)now;
  for (auto& queue : d_->queues) {
    if (std::erase_if(queue, [&](const Waiting& it) {
          return it.request.id == id;
        }) > 0) {
      return true;
    }
  }
  return false;
}

void GroupScheduler::OnOutcome(MonotonicTime now,
                               const PermitOutcome& outcome) {
  (void)now;
  d_->Free(outcome.permit);
}

void GroupScheduler::Renew(MonotonicTime now, const PermitId& permit) {
  const auto it = d_->in_use.find(permit);
  if (it != d_->in_use.end()) {
    it->second.expires_at =
        now + d_->timing.permit_time_to_live + d_->timing.permit_margin;
  }
}

void GroupScheduler::Adopt(MonotonicTime now, const AdoptedPermit& permit) {
  d_->in_use[permit.permit] = {
      .request = permit.request,
      .upstream = permit.upstream,
      .expires_at =
          now + d_->timing.permit_time_to_live + d_->timing.permit_margin};
  ++d_->outstanding[permit.upstream];
}

void GroupScheduler::ForgetHost(MonotonicTime now, const HostId& host) {
  (void)now;
  for (auto& queue : d_->queues) {
    std::erase_if(queue, [&](const Waiting& it) { return it.host == host; });
  }
}

void GroupScheduler::OnLoad(MonotonicTime, const LoadReport&) {}
void GroupScheduler::OnCache(MonotonicTime, const CacheEvent&) {}
void GroupScheduler::ConfirmShed(MonotonicTime,
                                 const RequestId&,
                                 const std::string&) {}

void GroupScheduler::SetPaused(MonotonicTime now, bool paused) {
  (void)now;
  d_->paused = paused;
}

void GroupScheduler::Advance(MonotonicTime now) {
  d_->Expire(now);
  if (d_->paused) {
    return;
  }
  for (auto& queue : d_->queues) {
    while (!queue.empty()) {
      const GroupUpstream* upstream = d_->Choose(queue.front().request);
      if (upstream == nullptr) {
        break;
      }
      Waiting waiting = std::move(queue.front());
      queue.pop_front();
      d_->Grant(now, std::move(waiting), *upstream);
    }
  }
}

std::vector<GroupAction> GroupScheduler::TakeActions() {
  return std::exchange(d_->actions, {});
}

bool GroupScheduler::CanOffer(MonotonicTime, Tier) const {
  return false;
}

std::size_t GroupScheduler::WaitingCount() const {
  std::size_t count = 0;
  for (const auto& queue : d_->queues) {
    count += queue.size();
  }
  return count;
}

std::size_t GroupScheduler::InUseCount() const {
  return d_->in_use.size();
}

std::string GroupScheduler::Dump(MonotonicTime now) const {
  (void)now;
  return "{\"waiting\":" + std::to_string(WaitingCount()) +
         ",\"in_use\":" + std::to_string(InUseCount()) + "}";
}

}  // namespace flamingogauge
