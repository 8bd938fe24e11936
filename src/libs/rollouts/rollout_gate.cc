#include "libs/rollouts/rollout_gate.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "libs/model/fingerprint.h"

namespace flamingogauge {
namespace {

// Trial requests that are placed together, so that they meet at an upstream:
// as many as it may run, within these bounds.
constexpr double kMinBatch = 4;
constexpr double kMaxBatch = 6;
// More than one, so that a version can be told from one faulty upstream.
constexpr std::size_t kTrialUpstreams = 3;

}  // namespace

RolloutGate::RolloutGate(RolloutGateOptions options)
    : options_(std::move(options)) {}

void RolloutGate::SetUpstreams(const std::vector<UpstreamEntry>& upstreams) {
  upstreams_ = upstreams;
  trusted_.SetUpstreams(upstreams);
  for (auto& [name, service] : services_) {
    service.listed.clear();
  }
  for (const UpstreamEntry& it : upstreams) {
    if (!it.draining) {
      ++services_[it.service].listed[it.version];
    }
  }
  for (auto& [name, service] : services_) {
    ChooseTrialUpstreams(service);
  }
}

void RolloutGate::SetTrusted(const std::string& service,
                             TrustedVersions::Versions versions) {
  trusted_.Replace(service, std::move(versions));
}

void RolloutGate::SetRule(const std::string& name,
                          std::optional<GateRule> rule) {
  Service& service = services_[name];
  const bool is_new =
      rule && (!service.rule || service.rule->order != rule->order);
  service.rule = std::move(rule);
  if (is_new) {
    service.placements = {};
    service.by_priority.clear();
    service.batch_open = false;
    service.left = 0;
    ChooseTrialUpstreams(service);
  }
}

std::string RolloutGate::RegionOf(const std::string& data_centre) const {
  const auto it = options_.regions.find(data_centre);
  return it == options_.regions.end() ? data_centre : it->second;
}

// All hosts of a region choose alike: the first ones by a hash.
void RolloutGate::ChooseTrialUpstreams(Service& service) {
  service.trial_upstreams.clear();
  if (!service.rule) {
    return;
  }
  const std::string region = RegionOf(options_.data_centre);
  struct Candidate {
    bool is_far = false;
    std::uint64_t rank = 0;
    std::string id;
    int slots = 0;
  };
  std::vector<Candidate> candidates;
  for (const UpstreamEntry& it : upstreams_) {
    const auto known = services_.find(it.service);
    if (!it.draining && it.version == service.rule->target &&
        known != services_.end() && &known->second == &service) {
      candidates.push_back({.is_far = RegionOf(it.data_centre) != region,
                            .rank = ComputeContentHash(it.id).high,
                            .id = it.id,
                            .slots = it.slots});
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return std::tie(a.is_far, a.rank, a.id) <
                     std::tie(b.is_far, b.rank, b.id);
            });
  for (std::size_t n = 0; n < std::min(candidates.size(), kTrialUpstreams);
       ++n) {
    service.trial_upstreams.push_back(candidates[n].id);
  }
  if (!candidates.empty()) {
    service.batch = std::clamp(static_cast<double>(candidates.front().slots),
                               kMinBatch, kMaxBatch);
  }
}

bool RolloutGate::IsListed(const Service& service,
                           const std::set<std::string>& versions) {
  return std::any_of(versions.begin(), versions.end(),
                     [&service](const std::string& it) {
                       return service.listed.contains(it);
                     });
}

bool RolloutGate::HasUpstreams(const std::string& service,
                               const std::string& version) const {
  const auto it = services_.find(service);
  return it != services_.end() && it->second.listed.contains(version);
}

bool RolloutGate::HasOnly(const std::string& service,
                          const std::string& version) const {
  return HasUpstreams(service, version) &&
         services_.at(service).listed.size() == 1;
}

bool RolloutGate::AdmitsOnlyTarget(const std::string& service,
                                   MonotonicTime time) const {
  const auto it = services_.find(service);
  if (it == services_.end() || !it->second.rule) {
    return false;
  }
  const GateRule& rule = *it->second.rule;
  return rule.mode == GateRule::Mode::kTarget && !rule.is_bad &&
         time < rule.permitted_until && it->second.listed.contains(rule.target);
}

bool RolloutGate::AdmitsByRule(const Service& service,
                               const GateRule& rule,
                               const std::string& version,
                               MonotonicTime now) {
  const bool is_old = rule.from.contains(version);
  const bool is_target = version == rule.target && !is_old;
  // A target that replaces nothing is all there is.
  if (is_target && rule.is_bad && !rule.from.empty()) {
    return false;
  }
  const bool target_is_listed = service.listed.contains(rule.target);
  const bool old_is_listed = IsListed(service, rule.from);
  if (rule.mode == GateRule::Mode::kTarget && !rule.is_bad &&
      now < rule.permitted_until && target_is_listed) {
    return is_target;
  }
  if (old_is_listed) {
    return is_old;
  }
  // Whatever is left serves, the target before versions that nobody ordered.
  return target_is_listed && !rule.is_bad ? is_target : true;
}

bool RolloutGate::Admits(const UpstreamEntry& upstream,
                         MonotonicTime now) const {
  const auto it = services_.find(upstream.service);
  if (it == services_.end()) {
    return true;
  }
  const Service& service = it->second;
  if (service.rule) {
    return AdmitsByRule(service, *service.rule, upstream.version, now);
  }
  if (service.listed.size() > 1 && now < wait_for_rules_until_) {
    return false;
  }
  const TrustedVersions::Versions& trusted = trusted_.Of(upstream.service);
  return trusted.contains(upstream.version) || !IsListed(service, trusted);
}

bool RolloutGate::AcceptsGrant(const UpstreamEntry& upstream,
                               MonotonicTime now) const {
  const auto it = services_.find(upstream.service);
  if (it != services_.end() && it->second.rule) {
    const GateRule& rule = *it->second.rule;
    if (upstream.version == rule.target && !rule.is_bad &&
        rule.mode != GateRule::Mode::kOld && now < rule.permitted_until) {
      return true;
    }
  }
  return Admits(upstream, now);
}

std::vector<std::string> RolloutGate::TrialUpstreams(const std::string& name,
                                                     int priority,
                                                     MonotonicTime now) const {
  const auto it = services_.find(name);
  if (it == services_.end() || !it->second.rule) {
    return {};
  }
  const Service& service = it->second;
  const GateRule& rule = *service.rule;
  if (rule.mode != GateRule::Mode::kTrial || rule.is_bad ||
      now >= rule.permitted_until || !service.batch_open) {
    return {};
  }
  // Requests of all priorities take part equally, as far as there are enough of
  // each, so that a fault of the rarest ones is found as well.
  const auto placed = service.by_priority.find(priority);
  const double count =
      placed == service.by_priority.end() ? 0 : placed->second.trials;
  const double fair =
      service.placements.trials /
      std::max<double>(1, static_cast<double>(service.by_priority.size()));
  const bool others_lack_requests = service.left >= 2 * service.batch;
  return count <= fair + 1 || others_lack_requests ? service.trial_upstreams
                                                   : std::vector<std::string>();
}

void RolloutGate::OnPlaced(const UpstreamEntry& upstream,
                           int priority,
                           MonotonicTime /*now*/) {
  const auto it = services_.find(upstream.service);
  if (it == services_.end() || !it->second.rule) {
    return;
  }
  Service& service = it->second;
  const bool is_trial = upstream.version == service.rule->target;
  for (Placements* count :
       {&service.placements, &service.by_priority[priority]}) {
    ++count->all;
    count->trials += is_trial ? 1 : 0;
  }
  service.left =
      service.placements.all * options_.trial_share - service.placements.trials;
  service.batch_open = service.left >= (service.batch_open ? 1 : service.batch);
}

}  // namespace flamingogauge
