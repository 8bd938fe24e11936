#include "plugins/scheduler/workspace_limiter.h"

#include <algorithm>
#include <utility>

#include "libs/model/rendezvous.h"

namespace flamingogauge {
namespace {

// Interval at which demand is measured and loans are renewed.
constexpr std::chrono::milliseconds kPollInterval{400};

// State of a workspace is removed after this idle time. Longer than any loan,
// so that the record of a lent share is never removed.
constexpr std::chrono::seconds kIdleTimeout{10};

// Factor by which a host requests more than its measured demand, so that its
// share can grow.
constexpr double kHeadroom = 1.3;
constexpr double kNeedSmoothing = 0.5;

std::size_t IndexOf(LimitKind kind) {
  return static_cast<std::size_t>(kind);
}

}  // namespace

void WorkspaceLimiter::SetDocument(std::shared_ptr<const Document> document) {
  document_ = std::move(document);
  index_.clear();
  for (std::size_t it = 0; it < document_->workspaces.size(); ++it) {
    const WorkspaceLimits& limits = document_->workspaces[it].limits;
    if (limits.requests_per_second > 0 || limits.tokens_per_second > 0 ||
        limits.concurrency > 0) {
      index_[document_->workspaces[it].id] = it;
    }
  }
  slots_ = 0;
  for (const DataCentreSpec& it : document_->data_centres) {
    slots_ += it.host_slots;
  }
  slots_ = std::max(1U, slots_);
  for (auto& [workspace, active] : active_) {
    const WorkspaceSpec* spec = Find(workspace);
    for (const LimitKind kind : {LimitKind::kRequests, LimitKind::kTokens}) {
      Rate& rate = active.rates[IndexOf(kind)];
      if (rate.share.has_value()) {
        rate.share->SetSlot(spec == nullptr ? 0 : Slot(*spec, kind));
      }
    }
  }
}

void WorkspaceLimiter::SetMembers(std::vector<HostId> members) {
  members_ = std::move(members);
}

const WorkspaceSpec* WorkspaceLimiter::Find(
    const WorkspaceId& workspace) const {
  const auto it = index_.find(workspace);
  return it == index_.end() ? nullptr : &document_->workspaces[it->second];
}

double WorkspaceLimiter::Slot(const WorkspaceSpec& spec, LimitKind kind) const {
  const double limit = kind == LimitKind::kRequests
                           ? spec.limits.requests_per_second
                           : spec.limits.tokens_per_second;
  return limit / slots_;
}

std::uint32_t WorkspaceLimiter::ConcurrencyShare(
    const WorkspaceSpec& spec) const {
  const std::uint32_t limit = spec.limits.concurrency;
  const bool takes_remainder =
      slot_index_.has_value() && *slot_index_ < limit % slots_;
  return limit / slots_ + (takes_remainder ? 1 : 0);
}

WorkspaceLimiter::Active& WorkspaceLimiter::Use(MonotonicTime now,
                                                const WorkspaceSpec& spec) {
  if (!std::exchange(is_started_, true)) {
    started_at_ = now;
  }
  Active& active = active_[spec.id];
  active.used_at = now;
  for (const LimitKind kind : {LimitKind::kRequests, LimitKind::kTokens}) {
    Rate& rate = active.rates[IndexOf(kind)];
    const double slot = Slot(spec, kind);
    if (slot > 0 && !rate.share.has_value()) {
      rate.share.emplace(slot, started_at_);
    } else if (slot <= 0) {
      rate.share.reset();
    }
  }
  return active;
}

std::optional<std::string> WorkspaceLimiter::Admit(
    MonotonicTime now,
    const PermitRequest& request) {
  const WorkspaceSpec* spec = Find(request.workspace);
  if (spec == nullptr) {
    return std::nullopt;
  }
  Active& active = Use(now, *spec);
  if (!request.excluded.empty()) {
    // A retry is not charged again: its first attempt was charged, and nothing
    // of it ran.
    ++active.running;
    return std::nullopt;
  }
  const std::uint32_t concurrency = ConcurrencyShare(*spec);
  if (spec->limits.concurrency > 0 && active.running >= concurrency) {
    return "concurrency " + std::to_string(spec->limits.concurrency) + ", " +
           std::to_string(concurrency) + " on this host";
  }
  const double amounts[kKinds] = {1,
                                  static_cast<double>(request.prompt_tokens)};
  const char* names[kKinds] = {"requests per second", "tokens per second"};
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    Rate& rate = active.rates[kind];
    rate.wanted += amounts[kind];
    if (rate.share.has_value()) {
      rate.bucket.Refill(now, rate.share->Allowance(now));
      if (rate.bucket.credits() <= 0) {
        return names[kind];
      }
    }
  }
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    active.rates[kind].bucket.TrySpend(amounts[kind]);
  }
  ++active.running;
  return std::nullopt;
}

void WorkspaceLimiter::OnEnded(const WorkspaceId& workspace,
                               std::uint32_t output_tokens) {
  const auto it = active_.find(workspace);
  if (it == active_.end()) {
    return;
  }
  it->second.running -= std::min(it->second.running, 1U);
  Rate& tokens = it->second.rates[IndexOf(LimitKind::kTokens)];
  tokens.wanted += output_tokens;
  tokens.bucket.Adjust(output_tokens);
}

void WorkspaceLimiter::Send(const HostId& to, LimitMessage message) {
  sender_.Send(to, {.target = {}, .body = std::move(message)});
}

void WorkspaceLimiter::OnMessage(MonotonicTime now,
                                 const HostId& from,
                                 LimitMessage message) {
  const std::size_t kind = IndexOf(message.kind);
  if (const auto* borrow = std::get_if<BorrowRequest>(&message.step)) {
    auto [it, created] = owned_[kind].try_emplace(
        message.workspace, Owned{.owner = LimitOwner(incarnation_)});
    const Loan loan = it->second.owner.Lend(now, from, *borrow);
    Send(from, {message.workspace, message.kind, loan});
    QueryLenders(now, message);
  } else if (const auto* consent = std::get_if<LendingConsent>(&message.step)) {
    const auto it = owned_[kind].find(message.workspace);
    if (it != owned_[kind].end()) {
      it->second.owner.OnConsent(now, from, *consent);
    }
  } else if (const auto* loan = std::get_if<Loan>(&message.step)) {
    const auto it = active_.find(message.workspace);
    if (it != active_.end() && it->second.rates[kind].share.has_value()) {
      it->second.rates[kind].share->OnLoan(now, *loan);
    }
  } else if (const auto* ask = std::get_if<LendingQuery>(&message.step)) {
    const WorkspaceSpec* spec = Find(message.workspace);
    if (spec != nullptr) {
      Rate& rate = Use(now, *spec).rates[kind];
      if (rate.share.has_value()) {
        Send(from, {message.workspace, message.kind,
                    rate.share->Consent(now, *ask, kHeadroom * rate.need)});
      }
    }
  }
}

void WorkspaceLimiter::QueryLenders(MonotonicTime now,
                                    const LimitMessage& about) {
  Owned& owned = owned_[IndexOf(about.kind)].at(about.workspace);
  if (now - owned.asked_at < kPollInterval / 2) {
    return;
  }
  owned.asked_at = now;
  for (const HostId& it : members_) {
    Send(it, {about.workspace, about.kind, owned.owner.Ask(now)});
  }
}

void WorkspaceLimiter::Poll(MonotonicTime now,
                            const WorkspaceId& workspace,
                            Active& active) {
  const double elapsed =
      std::chrono::duration<double>(now - polled_at_).count();
  for (const LimitKind kind : {LimitKind::kRequests, LimitKind::kTokens}) {
    Rate& rate = active.rates[IndexOf(kind)];
    if (!rate.share.has_value()) {
      continue;
    }
    const double wanted = std::exchange(rate.wanted, 0) / elapsed;
    // Rises immediately and decays slowly, so that the share is not lent away
    // between two requests of a steady flow.
    rate.need =
        std::max(wanted, rate.need + kNeedSmoothing * (wanted - rate.need));
    const BorrowRequest request =
        rate.share->Borrow(now, kHeadroom * rate.need);
    if (request.amount > 0 && !members_.empty()) {
      Send(RendezvousFirst(workspace, members_), {workspace, kind, request});
    }
  }
}

void WorkspaceLimiter::Advance(MonotonicTime now) {
  if (now - polled_at_ < kPollInterval) {
    return;
  }
  for (auto it = active_.begin(); it != active_.end();) {
    Active& active = it->second;
    if (active.running == 0 && now - active.used_at > kIdleTimeout) {
      it = active_.erase(it);
    } else {
      Poll(now, it->first, active);
      ++it;
    }
  }
  for (auto& owned : owned_) {
    std::erase_if(owned, [now](const auto& it) {
      return it.second.owner.IsIdle(now) &&
             now - it.second.asked_at > kIdleTimeout;
    });
  }
  polled_at_ = now;
}

}  // namespace flamingogauge
