#ifndef FLAMINGOGAUGE_LIBS_COORDINATION_COORDINATION_MESSAGES_H_
#define FLAMINGOGAUGE_LIBS_COORDINATION_COORDINATION_MESSAGES_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/dispatching/crash_evidence.h"
#include "libs/dispatching/shared_rate_limiter.h"
#include "libs/dispatching/upstream_view.h"
#include "libs/dispatching/waiting_request.h"
#include "libs/rollouts/rollout_messages.h"

// The messages between the hosts of a deployment and their coordinators.
// Upstreams are identified by PeerUpstreamKey. Times are durations from the
// sending of the message, so that no clocks are compared.

namespace flamingogauge {

// Requests in progress at each upstream.
using UpstreamLoad = std::map<std::uint64_t, int>;

// A request that a host wants to send to an upstream.
struct PlacementRequest {
  // Identifies one attempt to have the request placed; unique in its process.
  std::uint64_t ticket = 0;
  std::string service;
  int priority = 0;
  std::chrono::milliseconds waited{0};
  // Negative if the response is late already.
  std::chrono::milliseconds due_in{0};
  std::chrono::milliseconds start_in{0};
  std::chrono::milliseconds deadline_in{0};
  double prompt_tokens = 0;
  double expected_output_tokens = 0;
  std::vector<PromptPart> prompt_parts;
  bool was_sent = false;
  std::vector<std::uint64_t> excluded_upstreams;
  std::uint64_t workspace = 0;
  bool returned = false;
};

// The result of a request that a host had sent to an upstream.
struct UpstreamResult {
  // Increases with each result of the host's process.
  std::uint64_t number = 0;
  std::uint64_t upstream = 0;
  DispatchResult result = DispatchResult::kServed;
  // Zero if it was not measured.
  std::chrono::duration<double> event_interval{0};
  // From sending the request to the first event; zero if it was not measured.
  std::chrono::duration<double> first_event{0};
  double prompt_tokens = 0;
};

// How many requests an upstream answers at a time as promised, as learned from
// its answers.
struct UpstreamPaceReport {
  std::uint64_t upstream = 0;
  double requests = 0;
  // Of the newest answer that the pace was learned from.
  std::chrono::milliseconds age{0};
};

// What the sender knows of the limit that an upstream states on its rate of
// requests.
struct RateLimitReport {
  std::uint64_t upstream = 0;
  // Requests per second from all hosts together; none if it no longer states a
  // limit.
  std::optional<double> requests_per_second;
  // Of the response that said so.
  std::chrono::milliseconds age{0};

  bool operator==(const RateLimitReport&) const = default;
};

// Puts a limit into a message that is sent at `now`.
RateLimitReport ToRateLimitReport(std::uint64_t upstream,
                                  const ReportedRateLimit& limit,
                                  MonotonicTime now);
// Reads a limit from a message that `source` has sent and that arrived at
// `now`.
ReportedRateLimit FromRateLimitReport(const RateLimitReport& report,
                                      RateLimitSource source,
                                      MonotonicTime now);

// The state of a host, as it reports it to the coordinators of its data centre
// several times a second and at each change that matters to them.
struct HostMessage {
  std::string host;
  std::string data_centre;
  // Where the host receives messages.
  std::string address;
  // Identifies the host's process; changes when it restarts.
  std::uint64_t process = 0;
  // Increases with each message of the process.
  std::uint64_t sequence = 0;
  // True while the host shuts down; it no longer gets a share of limits.
  bool draining = false;
  UpstreamLoad running;
  // The process of the receiving coordinator and the number of its last grant
  // that this message accounts for.
  std::uint64_t coordinator_process = 0;
  std::uint64_t last_grant = 0;
  // The tickets that wait at the receiving coordinator.
  std::vector<std::uint64_t> waiting;
  // Those of them that it has not acknowledged.
  std::vector<PlacementRequest> requests;
  // The latest results; a message may be lost, so that each is sent repeatedly.
  std::vector<UpstreamResult> results;
  UsageByWorkspace usage;
  CrashEvidence evidence;
  RolloutReport rollouts;
  // What this host has read in responses.
  std::vector<RateLimitReport> rate_limits;
};

// The permission to send a request to an upstream.
struct PlacementGrant {
  std::uint64_t ticket = 0;
  std::uint64_t upstream = 0;
  // Increases with each grant to the host.
  std::uint64_t number = 0;
};

struct PlacementRefusal {
  std::uint64_t ticket = 0;
  std::chrono::milliseconds retry_after{0};
  std::string reason;
};

// A coordinator's reply to a host.
struct CoordinatorMessage {
  std::string coordinator;
  std::uint64_t process = 0;
  // The process of the receiving host that the reply is for. Another process
  // of that host has given the same tickets to other requests.
  std::uint64_t host_process = 0;
  std::vector<PlacementGrant> grants;
  std::vector<PlacementRefusal> refusals;
  // Tickets that wait for a free upstream.
  std::vector<std::uint64_t> queued;
  // Tickets that the host named as waiting and that the coordinator does not
  // know; the host submits their requests again.
  std::vector<std::uint64_t> unknown;
};

// What a coordinator knows of the load and the consumption of limits: of its
// data centre, for other coordinators, or of the whole fleet but the receiving
// host, for the hosts of its data centre.
struct FleetSummary {
  std::string coordinator;
  std::string data_centre;
  std::uint64_t process = 0;
  // The process of the receiving host that the summary is for; 0 if the
  // receiver is another coordinator.
  std::uint64_t host_process = 0;
  // Increases with each summary of the process to the same receiver.
  std::uint64_t sequence = 0;
  // True while the coordinator shuts down; hosts turn to the next one.
  bool draining = false;
  UpstreamLoad running;
  UsageByWorkspace usage;
  // Hosts heard of recently, including the receiver; those that shut down are
  // not counted.
  int reachable_hosts = 0;
  std::vector<std::string> draining_hosts;
  CrashEvidence evidence;
  RolloutReport rollouts;
  // Only those that have changed lately.
  std::vector<UpstreamPaceReport> paces;
  // For other coordinators, only what hosts of the sender's data centre have
  // read; a few times a second.
  std::vector<RateLimitReport> rate_limits;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_COORDINATION_COORDINATION_MESSAGES_H_
