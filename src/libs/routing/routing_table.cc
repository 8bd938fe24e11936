#include "libs/routing/routing_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace flamingogauge {
namespace {

// Returns the host name in lower case, without a port.
std::string NormalizedHost(std::string_view host) {
  std::string name(host.substr(0, host.find(':')));
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char it) {
    return static_cast<char>(std::tolower(it));
  });
  return name;
}

// Exclusive upper bound of a route's priority.
constexpr int kPriorityLevels = 100;

}  // namespace

int PriorityOf(const Route& route, const WorkspaceEntry* workspace) {
  const int effective = workspace != nullptr && workspace->priority
                            ? *workspace->priority
                            : route.priority;
  return effective * kPriorityLevels + route.priority;
}

void RoutingTable::AddRoute(Route route) {
  std::string prefix = route.path_prefix;
  routes_by_host_[NormalizedHost(route.host)].insert_or_assign(
      std::move(prefix), std::move(route));
}

void RoutingTable::AddKey(std::string key, std::size_t workspace) {
  workspace_by_key_.insert_or_assign(std::move(key), workspace);
}

const Route* RoutingTable::FindRoute(std::string_view host,
                                     std::string_view path) const {
  const auto routes = routes_by_host_.find(NormalizedHost(host));
  if (routes == routes_by_host_.end()) {
    return nullptr;
  }
  // Prefixes end with a slash, so that only the parts of the path up to a slash
  // need to be looked up.
  for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;
       slash = slash == 0 ? std::string_view::npos
                          : path.rfind('/', slash - 1)) {
    const auto it = routes->second.find(path.substr(0, slash + 1));
    if (it != routes->second.end()) {
      return &it->second;
    }
  }
  return nullptr;
}

const WorkspaceEntry* RoutingTable::FindKey(std::string_view key) const {
  const auto it = workspace_by_key_.find(std::string(key));
  return it == workspace_by_key_.end() ? nullptr : &workspaces[it->second];
}

std::size_t RoutingTable::route_count() const {
  std::size_t count = 0;
  for (const auto& [host, routes] : routes_by_host_) {
    count += routes.size();
  }
  return count;
}

std::vector<const Route*> RoutingTable::AllRoutes() const {
  std::vector<const Route*> all;
  for (const auto& [host, routes] : routes_by_host_) {
    for (const auto& [prefix, route] : routes) {
      all.push_back(&route);
    }
  }
  return all;
}

}  // namespace flamingogauge
