#ifndef FLAMINGOGAUGE_LIBS_COORDINATION_COORDINATOR_H_
#define FLAMINGOGAUGE_LIBS_COORDINATION_COORDINATOR_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "libs/coordination/coordination_messages.h"
#include "libs/coordination/usage_ledger.h"
#include "libs/dispatching/dispatcher.h"
#include "libs/fleet/host_entry.h"
#include "libs/kernel/time.h"

namespace flamingogauge {

struct CoordinatorOptions {
  // The host that this coordinator runs on.
  std::string host;
  // Identifies the host's process.
  std::uint64_t process = 0;
  DispatcherOptions dispatcher;
};

// A message to the host at `address`.
template <typename Message>
struct AddressedMessage {
  std::string address;
  Message message;
};

// Places the requests of all hosts of a data centre in one queue. Any host can
// be the coordinator: it needs no agreement, only that hosts send it their
// state, and it tolerates lost, repeated and late messages. A grant counts as
// load until a later message of its host accounts for it, so that no place is
// given away twice and none is lost with a message.
class Coordinator {
 public:
  explicit Coordinator(CoordinatorOptions options);

  void SetUpstreams(const std::vector<UpstreamEntry>& upstreams,
                    MonotonicTime now);
  void SetHosts(const std::vector<HostEntry>& hosts, MonotonicTime now);
  void SetRegions(std::map<std::string, std::string> regions);
  void SetWorkspaceWeights(WorkspaceWeights weights);
  // How long a host or another coordinator counts as reachable after its last
  // message.
  void SetMessageLifetime(std::chrono::milliseconds lifetime);

  // Applies the state of a host. Returns false if it is older than what is
  // known.
  bool OnHostMessage(const HostMessage& message, MonotonicTime now);
  // Applies the report of another data centre's coordinator.
  void OnDataCentreReport(const FleetSummary& report, MonotonicTime now);

  // Places and refuses requests; returns the replies that are due.
  std::vector<AddressedMessage<CoordinatorMessage>> Run(MonotonicTime now);

  // Returns what has been refused since the last call, for the log.
  std::vector<RefusalSummary> TakeRefusals(MonotonicTime now) {
    return queue_.TakeRefusals(now);
  }

  // True if hosts have sent messages recently.
  bool HasHosts(MonotonicTime now) const;
  // Returns the summaries for the hosts that have sent messages: for all of
  // them, or for those whose requests wait or were granted here.
  std::vector<AddressedMessage<FleetSummary>> SummariesForHosts(
      bool to_all,
      MonotonicTime now);
  // Returns the report for the coordinators of other data centres.
  FleetSummary DataCentreReport(MonotonicTime now);

  // Returns the changes of paces since the last call.
  std::vector<PaceChange> TakePaceChanges() { return queue_.TakePaceChanges(); }

  // Drops the requests and grants of hosts that have become silent. Returns
  // their names.
  std::vector<std::string> ExpireHosts(MonotonicTime now);

  // Its queue and its view of the upstreams.
  const Dispatcher& dispatcher() const { return queue_; }
  std::size_t waiting_count() const { return queue_.waiting_count(); }
  const Dispatcher& queue() const { return queue_; }
  // The number of hosts heard of recently, in all data centres.
  int ReachableHosts(MonotonicTime now) const;

 private:
  struct Grant {
    PlacementGrant grant;
    std::string upstream;
    MonotonicTime granted_at;
  };
  struct HostState {
    std::string address;
    std::uint64_t process = 0;
    std::uint64_t sequence = 0;
    MonotonicTime heard_at;
    bool draining = false;
    bool is_silent = false;
    UpstreamLoad running;
    std::uint64_t last_result = 0;
    // Ids in the queue, by ticket.
    std::unordered_map<std::uint64_t, std::uint64_t> waiting;
    // Grants that the host has not accounted for, in order of their numbers.
    std::deque<Grant> grants;
    std::uint64_t grant_count = 0;
    // The latest refusals, in case one is lost.
    std::deque<PlacementRefusal> refusals;
    // The reply that is being collected.
    CoordinatorMessage reply;
    std::uint64_t summary_count = 0;
  };
  struct WaitingTicket {
    std::string host;
    std::uint64_t ticket = 0;
  };
  struct OtherDataCentre {
    FleetSummary report;
    MonotonicTime heard_at;
  };

  void ForgetPlacements(HostState& host);
  void AcceptGrants(const HostMessage& message, HostState& host);
  void ApplyResults(const HostMessage& message,
                    HostState& host,
                    MonotonicTime now);
  // Forgets what the host no longer waits for. To be called after
  // AcceptGrants().
  void RemoveAbsentTickets(const HostMessage& message, HostState& host);
  void AddRequest(const std::string& name,
                  const PlacementRequest& request,
                  HostState& host,
                  MonotonicTime now);
  // Answers for tickets that the host still names as waiting although they were
  // granted or refused.
  static void RepeatLostReplies(const HostMessage& message,
                                HostState& host,
                                MonotonicTime now);
  // Repeats the reply to a ticket; returns false if there was none.
  static bool RepeatReply(std::uint64_t ticket, HostState& host);
  void GrantPlacements(MonotonicTime now);
  void RefuseRequests(MonotonicTime now);
  bool IsFresh(MonotonicTime heard_at, MonotonicTime now) const {
    return now - heard_at <= lifetime_;
  }
  // The paces that changed lately, up to a bound; those that another
  // coordinator reported only if `with_reported`.
  std::vector<UpstreamPaceReport> ChangedPaces(bool with_reported,
                                               MonotonicTime now) const;
  // The limits that are known; those that another coordinator reported only if
  // `with_reported`.
  std::vector<RateLimitReport> RateLimits(bool with_reported,
                                          MonotonicTime now);
  void ApplyRateLimits(const std::vector<RateLimitReport>& reports,
                       RateLimitSource source,
                       MonotonicTime now);
  int ReachableNearby(MonotonicTime now) const;
  std::vector<std::string> DrainingNearby() const;

  const CoordinatorOptions options_;
  std::chrono::milliseconds lifetime_{1500};
  Dispatcher queue_;
  // Consumption in this data centre, and in the others.
  UsageLedger nearby_usage_;
  UsageLedger remote_usage_;
  std::map<std::string, HostState> hosts_;
  std::map<std::string, OtherDataCentre> others_;
  std::unordered_map<std::uint64_t, WaitingTicket> tickets_;
  std::uint64_t next_id_ = 1;
  std::uint64_t report_count_ = 0;
  // When paces were last part of the messages to hosts and data centres.
  MonotonicTime paces_summarised_at_;
  MonotonicTime paces_reported_at_;
  MonotonicTime rate_limits_summarised_at_;
  MonotonicTime rate_limits_reported_at_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_COORDINATION_COORDINATOR_H_
