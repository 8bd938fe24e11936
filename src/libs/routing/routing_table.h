#ifndef FLAMINGOGAUGE_LIBS_ROUTING_ROUTING_TABLE_H_
#define FLAMINGOGAUGE_LIBS_ROUTING_ROUTING_TABLE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace flamingogauge {

// Whether a request may be executed more than once.
enum class ExecutionSemantics {
  kIdempotent,
  kAtMostOnce,
  // An event stream; executed at most once unless the route is resumable.
  kStream,
};

// A service of a route and its relative share of the route's requests.
struct WeightedService {
  std::string service;
  double weight = 1;
};

// An entry of the routing table. Matches the requests to a host name whose path
// begins with a prefix.
struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  ExecutionSemantics execution_semantics = ExecutionSemantics::kAtMostOnce;
  // The maximum time until the caller has the complete response.
  std::chrono::milliseconds timeout{0};
  // The expected time to the response, or to the first event of a stream.
  std::chrono::milliseconds target_latency{0};
  // The maximum gap between two events of a stream that counts as on time.
  std::chrono::milliseconds max_event_gap{0};
  // 0 is the most urgent.
  int priority = 0;
  std::vector<WeightedService> services;
  // Maximum number of upstreams that a request may be sent to.
  int max_dispatches = 1;
  // True if requests need no API key.
  bool anonymous = false;
  // True if a stream may be resumed on another upstream after its last event.
  bool resumable = false;

  // True if a request that may have been executed may be sent again.
  bool AllowsReexecution() const {
    return execution_semantics == ExecutionSemantics::kIdempotent ||
           (execution_semantics == ExecutionSemantics::kStream && resumable);
  }
};

// Properties shared by all upstreams of a service.
struct ServiceEntry {
  std::string name;
  // Maximum connections that one upstream accepts, over all hosts.
  int max_connections = 0;
  // Maximum concurrent requests of a model engine; 0 for a plain service.
  int engine_slots = 0;
  // Token capacity of an engine's memory; 0 for a plain service.
  std::int64_t engine_memory_tokens = 0;
};

// A customer's priority and its rate limit across all hosts.
struct WorkspaceEntry {
  std::string name;
  // Takes precedence over the route's priority if set; see PriorityOf().
  std::optional<int> priority;
  // True if the limit counts tokens, false if it counts requests.
  bool counts_tokens = false;
  // The tokens charged for a request without a token count.
  double plain_tokens = 0;
  // 0 means unlimited.
  double rate_per_second = 0;
  double burst = 0;
};

// Returns the scheduling priority of a request; 0 is the most urgent. Sorts by
// the workspace's priority, or the route's if the workspace has none, and then
// by the route's. `workspace` may be null.
int PriorityOf(const Route& route, const WorkspaceEntry* workspace);

// Size limits and timeouts for the requests of callers.
struct CallerLimits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = 1U << 22U;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

// One version of the routing document; immutable after it is built.
class RoutingTable {
 public:
  std::uint64_t version = 0;
  CallerLimits limits;
  std::map<std::string, ServiceEntry, std::less<>> services;
  std::vector<WorkspaceEntry> workspaces;

  void AddRoute(Route route);
  // `workspace` is an index into `workspaces`.
  void AddKey(std::string key, std::size_t workspace);

  // Returns the route with the longest prefix of `path` for `host`, or null.
  // `host` is compared case-insensitively and without its port; `path` excludes
  // the query.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  // Returns the workspace that owns `key`, or null.
  const WorkspaceEntry* FindKey(std::string_view key) const;

  std::size_t route_count() const;
  // All routes, in no particular order.
  std::vector<const Route*> AllRoutes() const;
  // The index into `workspaces` of each key.
  const std::unordered_map<std::string, std::size_t>& workspace_by_key() const {
    return workspace_by_key_;
  }

 private:
  std::unordered_map<std::string, std::map<std::string, Route, std::less<>>>
      routes_by_host_;
  std::unordered_map<std::string, std::size_t> workspace_by_key_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_ROUTING_ROUTING_TABLE_H_
