#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_WORKSPACE_WEIGHTS_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_WORKSPACE_WEIGHTS_H_

#include <cstdint>
#include <string>
#include <unordered_map>

#include "libs/routing/routing_table.h"

namespace flamingogauge {

// The weights by which workspaces share the places of a service, by the hash of
// their names; others have the weight 1.
using WorkspaceWeights = std::unordered_map<std::uint64_t, double>;

// Never 0, which stands for requests without a workspace.
std::uint64_t WorkspaceHash(const std::string& name);

// Weighs workspaces by their rate limits, with a mean weight of 1, if all have
// one; otherwise all weigh the same.
WorkspaceWeights WeightsByRateLimit(const RoutingTable& table);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_WORKSPACE_WEIGHTS_H_
