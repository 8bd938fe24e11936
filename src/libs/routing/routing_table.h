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

// Whether a request may run more than once.
enum class ExecutionSemantics {
  kIdempotent,
  kAtMostOnce,
  // An event stream; runs at most once unless the route is resumable.
  kStream,
};

// A service that a route may use, and its share of the route's requests.
struct WeightedService {
  std::string service;
  double weight = 1;
};

// One entry of the routing table: requests of one host name whose path begins
// with one prefix.
struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  ExecutionSemantics execution_semantics = ExecutionSemantics::kAtMostOnce;
  // The longest time after which a caller gets a final answer.
  std::chrono::milliseconds timeout{0};
  // The time to the answer, or to a stream's first event, that callers expect.
  std::chrono::milliseconds target_latency{0};
  // The longest pause between two events of a stream that is still on time.
  std::chrono::milliseconds max_event_gap{0};
  // 0 is the most urgent.
  int priority = 0;
  std::vector<WeightedService> services;
  // The number of upstreams that one request may be sent to.
  int max_dispatches = 1;
  // True when requests need no key.
  bool anonymous = false;
  // True when a stream may continue on another upstream after its last event.
  bool resumable = false;

  // True when the request may be sent again although it may have run.
  bool AllowsReexecution() const {
    return execution_semantics == ExecutionSemantics::kIdempotent ||
           (execution_semantics == ExecutionSemantics::kStream && resumable);
  }
};

// What all upstreams of one service have in common.
struct ServiceEntry {
  std::string name;
  // Connections that one upstream accepts from all hosts together.
  int max_connections = 0;
  // Requests that a model engine runs at once; 0 for a plain service.
  int engine_slots = 0;
  // Tokens that an engine's memory holds; 0 for a plain service.
  std::int64_t engine_memory_tokens = 0;
};

// A customer: its keys and its limit across all hosts.
struct WorkspaceEntry {
  std::string name;
  // Replaces the route's priority when set.
  std::optional<int> priority;
  // True when the limit counts tokens, false when it counts requests.
  bool counts_tokens = false;
  // What a request without a token count adds to the token limit.
  double plain_tokens = 0;
  // 0 means that there is no limit.
  double rate_per_second = 0;
  double burst = 0;
};

// The order of a request among others; 0 is the most urgent. A workspace's
// priority goes before that of the route, which then decides among equals.
// `workspace` may be null.
int PriorityOf(const Route& route, const WorkspaceEntry* workspace);

// Bounds on what a caller may send, and on how long it may take.
struct CallerLimits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = 1U << 22U;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

// One version of the routing document, read-only after it is built.
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
  // `host` is compared without case and without a port; `path` ends before the
  // query.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  // Returns the workspace that holds `key`, or null.
  const WorkspaceEntry* FindKey(std::string_view key) const;

  std::size_t route_count() const;

 private:
  std::unordered_map<std::string, std::map<std::string, Route, std::less<>>>
      routes_by_host_;
  std::unordered_map<std::string, std::size_t> workspace_by_key_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_ROUTING_ROUTING_TABLE_H_
