#include "plugins/scheduler/document_groups.h"

#include <algorithm>
#include <memory>
#include <unordered_map>
#include <utility>

namespace flamingogauge {
namespace {

// Returns the settings that all groups of the document share.
GroupConfig CommonConfig(const Document& document) {
  GroupConfig config;
  config.goodput_weight = document.policy.goodput_weight;
  config.wasted_prefill_weight = document.policy.wasted_prefill_weight;
  config.retry_budget = document.policy.retry_budget;
  config.quarantine = document.policy.quarantine;
  const std::size_t tiers =
      std::min<std::size_t>(document.tiers.size(), kMaxTiers);
  for (std::size_t it = 0; it < tiers; ++it) {
    config.tiers[it] = {.first_token = document.tiers[it].first_token_target,
                        .deadline = document.tiers[it].deadline};
  }
  auto weights = std::make_shared<std::unordered_map<WorkspaceId, double>>();
  for (const WorkspaceSpec& it : document.workspaces) {
    if (it.weight != 1.0) {
      (*weights)[it.id] = it.weight;
    }
  }
  config.weights = std::move(weights);
  return config;
}

}  // namespace

std::map<std::string, GroupConfig> GroupsOfDocument(
    const Document& document,
    const DataCentreId& data_centre,
    MonotonicTime now,
    std::chrono::seconds since_epoch) {
  const GroupConfig common = CommonConfig(document);
  std::unordered_map<UpstreamId, MonotonicTime> retirements;
  for (const RetirementSpec& it : document.retirements) {
    retirements[it.upstream] = now + (it.retires_at - since_epoch);
  }
  std::map<std::string, GroupConfig> groups;
  for (const UpstreamSpec& it : document.upstreams) {
    if (!data_centre.empty() && it.data_centre != data_centre) {
      continue;
    }
    GroupUpstream upstream{.id = it.id,
                           .address = it.address,
                           .generation = it.generation,
                           .token_capacity = it.token_capacity,
                           .max_concurrency = it.max_concurrency,
                           .leaving = it.leaving};
    const auto retirement = retirements.find(it.id);
    if (retirement != retirements.end()) {
      upstream.retires_at = retirement->second;
    }
    for (const std::string& target : it.targets) {
      auto [group, created] = groups.try_emplace(target, common);
      group->second.target = target;
      group->second.is_service = it.kind == UpstreamKind::kService;
      group->second.upstreams.push_back(upstream);
    }
  }
  for (const ModelSpec& it : document.models) {
    const auto group = groups.find(it.id);
    if (group != groups.end()) {
      group->second.default_max_output_tokens = it.default_max_output_tokens;
    }
  }
  return groups;
}

}  // namespace flamingogauge
