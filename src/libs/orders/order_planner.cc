#include "libs/orders/order_planner.h"

#include <algorithm>
#include <utility>

#include "libs/kernel/check.h"

namespace flamingogauge {
namespace {

constexpr double kSecondsPerMinute = 60;

// Returns a model that is in `wanted` and not in `present`.
std::optional<ModelId> FirstMissing(const std::set<ModelId>& wanted,
                                    const std::set<ModelId>& present) {
  for (const ModelId& it : wanted) {
    if (!present.contains(it)) {
      return it;
    }
  }
  return std::nullopt;
}

}  // namespace

void OrderPlanner::SetTargets(std::vector<OrderTarget> targets) {
  std::map<UpstreamId, State> states;
  for (OrderTarget& it : targets) {
    const auto old = states_.find(it.upstream);
    State state = old == states_.end() ? State{} : std::move(old->second);
    // A changed target is compared with the upstream immediately.
    if (state.target.models != it.models) {
      state.next_read = {};
    }
    state.target = std::move(it);
    const UpstreamId upstream = state.target.upstream;
    states.emplace(upstream, std::move(state));
  }
  states_ = std::move(states);
}

std::vector<OrderAction> OrderPlanner::OnTime(
    MonotonicTime now,
    const std::optional<OrderAuthority>& authority) {
  std::vector<OrderAction> actions;
  for (auto& [upstream, state] : states_) {
    if (!authority) {
      state.models.reset();
      state.next_read = {};
      continue;
    }
    const bool must_wait =
        !state.target.checks_fencing && now < authority->unfenced_from;
    if (state.outstanding || must_wait) {
      continue;
    }
    if (std::optional<Order> order = NextOrder(now, *authority, state)) {
      state.outstanding = true;
      // The models must be read again before the next order.
      state.models.reset();
      state.next_read = now;
      actions.emplace_back(std::move(*order));
    } else if (now >= state.next_read) {
      state.outstanding = true;
      state.next_read = now + options_.read_interval;
      actions.emplace_back(ReadModelsAction{.upstream = upstream,
                                            .address = state.target.address});
    }
  }
  return actions;
}

std::optional<Order> OrderPlanner::NextOrder(MonotonicTime now,
                                             const OrderAuthority& authority,
                                             State& state) {
  if (!state.models) {
    return std::nullopt;
  }
  CHECK_INVARIANT("fencing",
                  state.target.checks_fencing || now >= authority.unfenced_from,
                  "order " + state.target.upstream +
                      " while orders of the previous holder may still arrive");
  Order order{.upstream = state.target.upstream,
              .address = state.target.address,
              .fencing_number = authority.fencing_number};
  // Models are unloaded first, to free memory for those to be loaded.
  if (auto model = FirstMissing(*state.models, state.target.models)) {
    order.kind = OrderKind::kUnload;
    order.model = std::move(*model);
    return order;
  }
  if (auto model = FirstMissing(state.target.models, *state.models)) {
    if (!TryConsumeLoad(now)) {
      return std::nullopt;
    }
    order.kind = OrderKind::kLoad;
    order.model = std::move(*model);
    return order;
  }
  return std::nullopt;
}

bool OrderPlanner::TryConsumeLoad(MonotonicTime now) {
  const double elapsed =
      std::chrono::duration<double>(now - loads_updated_at_).count();
  loads_updated_at_ = now;
  // At most one load accumulates, so that no burst follows an idle period.
  loads_available_ =
      std::min(1.0, loads_available_ + elapsed * options_.loads_per_minute /
                                           kSecondsPerMinute);
  if (loads_available_ < 1) {
    return false;
  }
  loads_available_ -= 1;
  return true;
}

void OrderPlanner::OnModels(MonotonicTime now,
                            const UpstreamId& upstream,
                            std::optional<std::set<ModelId>> models) {
  const auto it = states_.find(upstream);
  if (it == states_.end()) {
    return;
  }
  it->second.outstanding = false;
  if (!models) {
    it->second.next_read = now + options_.retry_interval;
  }
  it->second.models = std::move(models);
}

void OrderPlanner::OnOrderEnded(MonotonicTime now,
                                const UpstreamId& upstream,
                                OrderResult result) {
  const auto it = states_.find(upstream);
  if (it == states_.end()) {
    return;
  }
  it->second.outstanding = false;
  if (result != OrderResult::kDone) {
    it->second.next_read = now + options_.retry_interval;
  }
}

}  // namespace flamingogauge
