#include "plugins/configuration/core_context.h"

#include <algorithm>

#include "libs/model/rendezvous.h"

namespace flamingogauge {
namespace {

constexpr std::size_t kWatchersPerDataCentre = 2;

}  // namespace

void RunAfter(CoreContext& context,
              Duration delay,
              std::function<void()> task) {
  const bool posted = context.runner->PostAfter(
      delay,
      [alive = std::weak_ptr<bool>(context.alive), task = std::move(task)] {
        if (!alive.expired()) {
          task();
        }
      });
  static_cast<void>(posted);
}

Duration WithJitter(CoreContext& context, Duration delay) {
  const auto half = static_cast<std::uint64_t>(delay.count() / 2);
  return Duration(
      static_cast<Duration::rep>(half + context.random.NextBelow(half + 1)));
}

Duration Backoff::Next(CoreContext& context) {
  const Duration delay = WithJitter(context, next_);
  next_ = std::min(max_delay_, next_ * 2);
  return delay;
}

std::vector<HostId> WatchOrder(const CoreContext& context) {
  if (context.membership == nullptr) {
    return {};
  }
  const Member& self = context.membership->Self();
  // This host is always a candidate, whatever its state in the member list.
  std::vector<HostId> hosts{self.host};
  // Keeps the list alive, because the peers thread may publish a new one.
  const std::shared_ptr<const MemberList> members =
      context.membership->Current();
  for (const Member& it : *members) {
    if (it.host != self.host && it.data_centre == self.data_centre &&
        it.state == MemberState::kAlive) {
      hosts.push_back(it.host);
    }
  }
  return RendezvousOrder(kManifestKey, std::move(hosts));
}

bool IsWatcher(const CoreContext& context) {
  const std::vector<HostId> order = WatchOrder(context);
  if (order.empty()) {
    return true;
  }
  const auto end = order.begin() + static_cast<std::ptrdiff_t>(std::min(
                                       order.size(), kWatchersPerDataCentre));
  return std::find(order.begin(), end, context.membership->Self().host) != end;
}

}  // namespace flamingogauge
