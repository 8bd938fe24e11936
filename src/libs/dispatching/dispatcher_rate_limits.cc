// The part of Dispatcher that follows the limits which upstreams state on their
// rate of requests.
#include <optional>
#include <utility>

#include "libs/dispatching/dispatcher.h"

namespace flamingogauge {

void Dispatcher::SetRateLimitSharers(RateLimitSharers sharers,
                                     MonotonicTime now) {
  rate_shares_.SetSharers(std::move(sharers));
  for (auto& [id, upstream] : upstreams_) {
    UpdateRateShare(upstream, now);
  }
}

void Dispatcher::UpdateRateShare(UpstreamView& upstream, MonotonicTime now) {
  const auto limit = upstream.rate_limit().requests_per_second();
  if (limit) {
    upstream.rate_limit().SetShare(
        rate_shares_.ShareOf(upstream.entry(), *limit), now);
  }
}

bool Dispatcher::OnRateLimit(const std::string& upstream,
                             const RateLimitStatement& statement) {
  const auto it = upstreams_.find(upstream);
  if (it == upstreams_.end()) {
    return false;
  }
  const bool is_news = it->second.rate_limit().OnStatement(statement);
  if (is_news) {
    rate_limited_.insert(PeerUpstreamKey(upstream));
    UpdateRateShare(it->second, statement.stated_at);
  }
  return is_news;
}

void Dispatcher::OnRateLimitReport(std::uint64_t upstream_key,
                                   const ReportedRateLimit& report,
                                   MonotonicTime now) {
  const auto it = by_peer_key_.find(upstream_key);
  if (it == by_peer_key_.end()) {
    return;
  }
  it->second->rate_limit().OnReport(report, now);
  rate_limited_.insert(upstream_key);
  UpdateRateShare(*it->second, now);
}

std::map<std::uint64_t, ReportedRateLimit> Dispatcher::RateLimits(
    MonotonicTime now) {
  std::map<std::uint64_t, ReportedRateLimit> limits;
  std::erase_if(rate_limited_, [&](std::uint64_t key) {
    const UpstreamView* upstream = FindByPeerKey(key);
    const auto report =
        upstream != nullptr ? upstream->rate_limit().Report(now) : std::nullopt;
    if (report) {
      limits.emplace(key, *report);
    }
    return !report;
  });
  return limits;
}

}  // namespace flamingogauge
