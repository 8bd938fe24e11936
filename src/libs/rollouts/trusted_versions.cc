#include "libs/rollouts/trusted_versions.h"

#include <tuple>
#include <utility>

namespace flamingogauge {

void TrustedVersions::SetUpstreams(
    const std::vector<UpstreamEntry>& upstreams) {
  std::map<std::string, const UpstreamEntry*> first;
  const auto order_of = [](const UpstreamEntry& it) {
    return std::tie(it.started_at_ms, it.version);
  };
  for (const UpstreamEntry& it : upstreams) {
    const UpstreamEntry*& known = first[it.service];
    if (known == nullptr || order_of(it) < order_of(*known)) {
      known = &it;
    }
  }
  for (const auto& [service, upstream] : first) {
    Versions& trusted = versions_[service];
    if (trusted.empty()) {
      trusted.insert(upstream->version);
    }
  }
}

void TrustedVersions::Replace(const std::string& service, Versions versions) {
  versions_[service] = std::move(versions);
}

const TrustedVersions::Versions& TrustedVersions::Of(
    const std::string& service) const {
  static const Versions kNone;
  const auto it = versions_.find(service);
  return it == versions_.end() ? kNone : it->second;
}

}  // namespace flamingogauge
