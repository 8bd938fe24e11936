#include "tests/auto/membership/membership_network.h"

#include <algorithm>
#include <utility>

namespace flamingogauge {
namespace {

constexpr std::chrono::microseconds kLocalDelay{200};
constexpr std::chrono::microseconds kSameRegionDelay{1500};
constexpr std::chrono::microseconds kCrossRegionDelay{20000};

}  // namespace

MembershipNetwork::MembershipNetwork(std::uint64_t seed,
                                     MembershipOptions options)
    : options_(options), random_(seed) {}

std::size_t MembershipNetwork::AddHost(const std::string& data_centre,
                                       const std::string& region) {
  const std::size_t n = hosts_.size();
  Host host;
  host.self = {.host = data_centre + "-" + std::to_string(n),
               .data_centre = data_centre,
               .region = region,
               .peer_address = "10.0.0.1:" + std::to_string(n + 1),
               .incarnation = {}};
  by_address_[host.self.peer_address] = n;
  hosts_.push_back(std::move(host));
  return n;
}

void MembershipNetwork::Start(std::size_t n,
                              std::chrono::milliseconds clock_error) {
  Host& host = hosts_[n];
  host.self.incarnation = {.high = random_.Next(), .low = random_.Next()};
  ++host.starts;
  const auto wall_clock = std::chrono::duration_cast<std::chrono::milliseconds>(
      now_.time_since_epoch() + clock_error);
  host.membership = std::make_unique<Membership>(
      host.self, static_cast<std::uint64_t>(wall_clock.count()), options_,
      now_);
  // All hosts use the first host and the one in the middle of the list as
  // seeds.
  host.membership->SetSeeds({hosts_[0].self.peer_address,
                             hosts_[hosts_.size() / 2].self.peer_address});
  ScheduleTick(n, host.starts,
               std::chrono::milliseconds(random_.NextBelow(50)));
}

void MembershipNetwork::Stop(std::size_t n) {
  hosts_[n].membership.reset();
  ++hosts_[n].starts;
}

void MembershipNetwork::Pause(std::size_t n,
                              std::chrono::milliseconds duration) {
  hosts_[n].paused_until = now_ + duration;
}

void MembershipNetwork::RunFor(std::chrono::milliseconds duration) {
  const MonotonicTime end = now_ + duration;
  while (!events_queue_.empty() && events_queue_.top().at <= end) {
    const Event event = events_queue_.top();
    events_queue_.pop();
    now_ = event.at;
    ++events_;
    event.run();
  }
  now_ = end;
}

void MembershipNetwork::Schedule(Duration delay, std::function<void()> run) {
  events_queue_.push({now_ + delay, order_++, std::move(run)});
}

void MembershipNetwork::ScheduleTick(std::size_t n,
                                     std::uint64_t start,
                                     Duration delay) {
  Schedule(delay, [this, n, start] { Tick(n, start); });
}

void MembershipNetwork::Tick(std::size_t n, std::uint64_t start) {
  Host& host = hosts_[n];
  if (host.starts != start) {
    return;
  }
  if (host.paused_until > now_) {
    ScheduleTick(n, start, host.paused_until - now_);
    return;
  }
  for (HeartbeatAction& it : host.membership->Tick(now_)) {
    const auto target = by_address_.find(it.address);
    if (target != by_address_.end()) {
      const std::size_t to = target->second;
      Send(n, to, it.message,
           [this, n, to, message = it.message] { Deliver(n, to, message); });
    }
  }
  if (after_tick) {
    after_tick(host);
  }
  ScheduleTick(n, start, Membership::kTickInterval);
}

bool MembershipNetwork::CanReach(std::size_t from, std::size_t to) const {
  return hosts_[from].partition == hosts_[to].partition;
}

void MembershipNetwork::Send(std::size_t from,
                             std::size_t to,
                             const Heartbeat& message,
                             const std::function<void()>& deliver) {
  const std::size_t size = size_ ? size_(message) : 0;
  ++hosts_[from].messages_sent;
  hosts_[from].bytes_sent += size;
  hosts_[to].bytes_received += size;
  const Member& a = hosts_[from].self;
  const Member& b = hosts_[to].self;
  const Duration path = a.data_centre == b.data_centre ? kLocalDelay
                        : a.region == b.region         ? kSameRegionDelay
                                                       : kCrossRegionDelay;
  const int copies = random_.NextBool(faults_.duplication) ? 2 : 1;
  for (int n = 0; n < copies; ++n) {
    if (!CanReach(from, to) || random_.NextBool(faults_.loss)) {
      continue;
    }
    const std::chrono::microseconds extra(random_.NextBelow(
        static_cast<std::uint64_t>(faults_.max_extra_delay.count()) + 1));
    Schedule(path + extra, deliver);
  }
}

void MembershipNetwork::Deliver(std::size_t from,
                                std::size_t to,
                                const Heartbeat& request) {
  Host& host = hosts_[to];
  if (!host.membership || !CanReach(from, to)) {
    return;
  }
  if (host.paused_until > now_) {
    // The kernel buffers the request until the process runs again.
    Schedule(host.paused_until - now_,
             [this, from, to, request] { Deliver(from, to, request); });
    return;
  }
  const Heartbeat reply = host.membership->OnRequest(request, now_);
  const std::uint64_t start = hosts_[from].starts;
  Send(to, from, reply, [this, from, start, reply] {
    Host& caller = hosts_[from];
    if (caller.membership && caller.starts == start &&
        caller.paused_until <= now_) {
      caller.membership->OnReply(reply, now_);
    }
  });
}

MemberState MembershipNetwork::StateIn(std::size_t viewer,
                                       std::size_t other) const {
  const auto view = hosts_[viewer].membership->view();
  const auto it =
      std::find_if(view->begin(), view->end(), [&](const Member& member) {
        return member.host == hosts_[other].self.host &&
               member.incarnation == hosts_[other].self.incarnation;
      });
  return it == view->end() ? MemberState::kDead : it->state;
}

bool MembershipNetwork::IsConverged() const {
  for (std::size_t a = 0; a < hosts_.size(); ++a) {
    for (std::size_t b = 0; hosts_[a].membership && b < hosts_.size(); ++b) {
      const MemberState state = StateIn(a, b);
      const bool is_up = state == MemberState::kAlive;
      if (is_up != (hosts_[b].membership != nullptr)) {
        return false;
      }
    }
  }
  return true;
}

}  // namespace flamingogauge
