#include "libs/dispatching/workspace_weights.h"

#include <algorithm>

#include "libs/model/fingerprint.h"

namespace flamingogauge {

std::uint64_t WorkspaceHash(const std::string& name) {
  return std::max<std::uint64_t>(1, ComputeContentHash(name).low);
}

WorkspaceWeights WeightsByRateLimit(const RoutingTable& table) {
  double total = 0;
  for (const WorkspaceEntry& it : table.workspaces) {
    if (it.rate_per_second <= 0) {
      return {};
    }
    total += it.rate_per_second;
  }
  const auto count = static_cast<double>(table.workspaces.size());
  WorkspaceWeights weights;
  for (const WorkspaceEntry& it : table.workspaces) {
    weights[WorkspaceHash(it.name)] = it.rate_per_second * count / total;
  }
  return weights;
}

}  // namespace flamingogauge
