// The part of Coordinator that composes what it tells hosts and the
// coordinators of other data centres.
#include <algorithm>
#include <utility>

#include "libs/coordination/coordinator.h"

namespace flamingogauge {
namespace {

using std::chrono::milliseconds;

// Bounds the bytes that paces take in messages: so many, so often. A change is
// repeated for as long as kPaceRepetition, as messages may be lost.
constexpr std::size_t kMaxPaces = 16;
constexpr milliseconds kPaceInterval{200};
constexpr milliseconds kPaceRepetition{500};
// How often messages hold the limits that upstreams state.
constexpr milliseconds kRateLimitInterval{200};

// Returns whether an interval has passed since `last`, and restarts it then.
bool IsDue(MonotonicTime& last, milliseconds interval, MonotonicTime now) {
  if (now - last < interval) {
    return false;
  }
  last = now;
  return true;
}

}  // namespace

int Coordinator::ReachableNearby(MonotonicTime now) const {
  return static_cast<int>(
      std::count_if(hosts_.begin(), hosts_.end(), [this, now](const auto& it) {
        return IsFresh(it.second.heard_at, now) && !it.second.draining;
      }));
}

int Coordinator::ReachableHosts(MonotonicTime now) const {
  int reachable = ReachableNearby(now);
  for (const auto& [data_centre, other] : others_) {
    if (IsFresh(other.heard_at, now)) {
      reachable += other.report.reachable_hosts;
    }
  }
  return reachable;
}

std::vector<std::string> Coordinator::DrainingNearby() const {
  std::vector<std::string> names;
  for (const auto& [name, host] : hosts_) {
    if (host.draining) {
      names.push_back(name);
    }
  }
  return names;
}

std::vector<UpstreamPaceReport> Coordinator::ChangedPaces(
    bool with_reported,
    MonotonicTime now) const {
  std::vector<UpstreamPaceReport> paces;
  for (const auto& [id, upstream] : queue_.upstreams()) {
    const UpstreamPace& pace = upstream.pace();
    const bool has_changed =
        pace.changed_at() && now - *pace.changed_at() <= kPaceRepetition;
    if (!has_changed || !pace.learned_at() ||
        (!with_reported && pace.cause() == PaceCause::kReported)) {
      continue;
    }
    paces.push_back({.upstream = PeerUpstreamKey(id),
                     .requests = pace.requests(),
                     .age = std::chrono::duration_cast<milliseconds>(
                         now - *pace.learned_at())});
    if (paces.size() == kMaxPaces) {
      break;
    }
  }
  return paces;
}

std::vector<RateLimitReport> Coordinator::RateLimits(bool with_reported,
                                                     MonotonicTime now) {
  std::vector<RateLimitReport> reports;
  for (const auto& [upstream, limit] : queue_.RateLimits(now)) {
    if (with_reported || limit.source == RateLimitSource::kHost) {
      reports.push_back(ToRateLimitReport(upstream, limit, now));
    }
  }
  return reports;
}

std::vector<AddressedMessage<FleetSummary>> Coordinator::SummariesForHosts(
    bool to_all,
    MonotonicTime now) {
  UpstreamLoad total;
  for (const auto& [id, upstream] : queue_.upstreams()) {
    if (upstream.running() > 0) {
      total[PeerUpstreamKey(id)] = upstream.running();
    }
  }
  std::vector<std::string> draining = DrainingNearby();
  for (const auto& [data_centre, other] : others_) {
    const auto& names = other.report.draining_hosts;
    draining.insert(draining.end(), names.begin(), names.end());
  }
  const int reachable = ReachableHosts(now);
  std::vector<UpstreamPaceReport> paces;
  if (to_all && IsDue(paces_summarised_at_, kPaceInterval, now)) {
    paces = ChangedPaces(true, now);
  }
  std::vector<RateLimitReport> rate_limits;
  if (to_all && IsDue(rate_limits_summarised_at_, kRateLimitInterval, now)) {
    rate_limits = RateLimits(true, now);
  }
  std::vector<AddressedMessage<FleetSummary>> messages;
  for (auto& [name, host] : hosts_) {
    const bool is_served = !host.waiting.empty() || !host.grants.empty();
    if (!IsFresh(host.heard_at, now) || !(to_all || is_served)) {
      continue;
    }
    FleetSummary summary{.coordinator = options_.host,
                         .data_centre = options_.dispatcher.data_centre,
                         .process = options_.process,
                         .host_process = host.process,
                         .sequence = ++host.summary_count,
                         .running = total,
                         .reachable_hosts = reachable,
                         .draining_hosts = draining,
                         .paces = paces,
                         .rate_limits = rate_limits};
    for (const auto& [key, requests] : host.running) {
      const auto it = summary.running.find(key);
      if (it != summary.running.end() && (it->second -= requests) <= 0) {
        summary.running.erase(it);
      }
    }
    nearby_usage_.AddTotalExcept(name, summary.usage);
    remote_usage_.AddTotalExcept("", summary.usage);
    messages.push_back(
        {.address = host.address, .message = std::move(summary)});
  }
  return messages;
}

FleetSummary Coordinator::DataCentreReport(MonotonicTime now) {
  FleetSummary report{.coordinator = options_.host,
                      .data_centre = options_.dispatcher.data_centre,
                      .process = options_.process,
                      .sequence = ++report_count_,
                      .reachable_hosts = ReachableNearby(now),
                      .draining_hosts = DrainingNearby()};
  for (const auto& [name, host] : hosts_) {
    if (!IsFresh(host.heard_at, now)) {
      continue;
    }
    for (const auto& [key, requests] : host.running) {
      report.running[key] += requests;
    }
    for (const Grant& it : host.grants) {
      ++report.running[it.grant.upstream];
    }
  }
  nearby_usage_.AddTotalExcept("", report.usage);
  if (IsDue(paces_reported_at_, kPaceInterval, now)) {
    report.paces = ChangedPaces(false, now);
  }
  if (IsDue(rate_limits_reported_at_, kRateLimitInterval, now)) {
    report.rate_limits = RateLimits(false, now);
  }
  return report;
}

}  // namespace flamingogauge
