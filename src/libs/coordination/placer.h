#ifndef FLAMINGOGAUGE_LIBS_COORDINATION_PLACER_H_
#define FLAMINGOGAUGE_LIBS_COORDINATION_PLACER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "libs/coordination/coordination_messages.h"
#include "libs/dispatching/dispatcher.h"
#include "libs/fleet/host_entry.h"
#include "libs/kernel/time.h"

namespace flamingogauge {

struct PlacerOptions {
  std::string host;
  // Identifies this process among those of the same host.
  std::uint64_t process = 0;
  std::string data_centre;
  DispatcherOptions dispatcher;
  // How long a coordinator may take to acknowledge a request.
  std::chrono::milliseconds answer_limit{40};
  // How long a coordinator may be silent while requests wait there. Longer than
  // the interval of its summaries.
  std::chrono::milliseconds silence_limit{800};
  // The shortest time for which a coordinator that did not answer is avoided.
  std::chrono::milliseconds min_avoidance{300};
};

// Gets the requests of one host placed: by the coordinator of its data centre
// while one answers, otherwise by itself, on its own load and what it last
// heard of that of others. A coordinator that is dead, paused or cut off
// therefore delays a request by a few tens of milliseconds, and never holds it.
class Placer {
 public:
  // The number of hosts that may act as coordinator: the first of the data
  // centre, in the order of OrderHosts. The second one is kept informed, so
  // that it can take over at once.
  static constexpr std::size_t kCandidates = 3;
  static constexpr std::size_t kInformedCandidates = 2;

  explicit Placer(PlacerOptions options);

  void SetRegions(std::map<std::string, std::string> regions);
  void SetReportLifetime(std::chrono::milliseconds lifetime);
  // Applies to the requests that this host places itself.
  void SetWorkspaceWeights(WorkspaceWeights weights);
  void SetHosts(const std::vector<HostEntry>& hosts, MonotonicTime now);
  // This host shuts down and is no longer a coordinator, also not its own.
  void SetDraining() { is_draining_ = true; }
  void SetUpstreams(const std::vector<UpstreamEntry>& upstreams,
                    MonotonicTime now);

  void Enqueue(WaitingRequest request);
  // Removes a request whose caller disconnected or that is no longer needed.
  void Remove(std::uint64_t request);

  // Returns the requests to send now. Each occupies its place until OnEnded(),
  // or OnNotSent() if it has ended meanwhile.
  std::vector<Placement> Place(MonotonicTime now);
  void OnNotSent(const Placement& placement);
  // Returns the requests that would wait too long. Call after Place().
  std::vector<Rejection> Reject(MonotonicTime now);

  // Returns what this host itself has refused since the last call, for the log.
  std::vector<RefusalSummary> TakeRefusals(MonotonicTime now) {
    return local_.TakeRefusals(now);
  }

  HealthChange OnEnded(const std::string& upstream,
                       DispatchResult result,
                       MonotonicTime now);
  void OnEventInterval(const std::string& upstream,
                       std::chrono::duration<double> event_interval,
                       MonotonicTime now);
  // An answer began `took` after its request was sent.
  void OnFirstEvent(const std::string& upstream,
                    Duration took,
                    double prompt_tokens,
                    MonotonicTime now);
  // The upstream has asked this host to send it nothing for `retry_after`.
  // Coordinators are told with each request that waits, as they may grant other
  // hosts a place there.
  void OnRetryAfter(const std::string& upstream,
                    std::chrono::milliseconds retry_after,
                    MonotonicTime now);
  // A response said whether the upstream limits the rate of requests. Returns
  // true if that is news.
  bool OnRateLimit(const std::string& upstream,
                   const RateLimitStatement& statement);
  // The upstream stated in a response that it shuts down.
  HealthChange OnLeaving(const std::string& upstream, MonotonicTime now);

  // Returns false, and changes nothing, if the reply is for another process of
  // this host, which has ended.
  bool OnCoordinatorMessage(const CoordinatorMessage& message,
                            MonotonicTime now);
  // Returns false like OnCoordinatorMessage().
  bool OnSummary(const FleetSummary& summary, MonotonicTime now);

  // Moves the requests of a coordinator that does not answer; to be called
  // every few milliseconds while requests wait for an acknowledgement.
  void Tick(MonotonicTime now);
  // Gives up on all grants and acknowledgements that are under way, after a
  // pause of this process: they were given for a moment that has passed.
  void OnPaused();

  // The coordinator in use; empty if this host places its requests itself.
  std::string Coordinator() const;
  // The hosts to send this host's state to periodically.
  std::vector<std::string> InformedHosts() const;
  // The coordinators that must learn of a change at once.
  std::vector<std::string> TakeUrgentReceivers();
  // Returns this host's state for a coordinator, without process, sequence,
  // usage and the like.
  HostMessage StateFor(const std::string& coordinator, MonotonicTime now);

  // Excludes the upstreams that have asked this host for a pause, which a
  // coordinator cannot know.
  void ExcludeHeldBack(WaitingRequest& request, MonotonicTime now) const;

  bool HasAnyUpstream() const { return local_.HasAnyUpstream(); }
  std::size_t waiting_count() const {
    return pending_.size() + local_.waiting_count();
  }
  // Requests that a coordinator has not acknowledged.
  std::size_t unacknowledged_count() const;
  // Requests that this host places itself.
  std::size_t local_count() const { return local_.waiting_count(); }
  const std::map<std::string, UpstreamView>& upstreams() const {
    return local_.upstreams();
  }
  const Dispatcher& dispatcher() const { return local_; }

 private:
  struct Pending {
    WaitingRequest request;
    std::uint64_t ticket = 0;
    std::string coordinator;
    // Empty until the request is part of a message.
    std::optional<MonotonicTime> sent_at;
    bool acknowledged = false;
    // Coordinators tried, including this one.
    int attempts = 1;
  };
  struct CoordinatorState {
    std::uint64_t process = 0;
    std::uint64_t last_grant = 0;
    std::uint64_t last_summary = 0;
    MonotonicTime heard_at;
    // Set while the coordinator is avoided.
    std::optional<MonotonicTime> avoided_since;
  };

  bool IsAvoided(const std::string& candidate) const;
  // Has this host's state sent to the coordinator in use at once.
  void InformCoordinator();
  void OnHeard(const std::string& coordinator,
               std::uint64_t process,
               MonotonicTime now);
  void Avoid(const std::string& coordinator, MonotonicTime now);
  // Sends the request to the coordinator in use under a new ticket, or places
  // it locally.
  void Reassign(std::uint64_t id);
  void Submit(Pending pending);
  // Includes the request in the next message to its coordinator.
  void SubmitAgain(Pending& pending);
  void OnGrant(const PlacementGrant& grant, MonotonicTime now);
  void CheckAnswer(std::uint64_t id, MonotonicTime now);
  std::vector<std::string> HeldBack(const std::string& service,
                                    MonotonicTime now) const;
  PlacementRequest ToPlacementRequest(const Pending& pending,
                                      MonotonicTime now) const;
  void AddResult(UpstreamResult result, MonotonicTime now);

  const PlacerOptions options_;
  Dispatcher local_;
  // The hosts that may act as coordinator, in order; may include this one.
  std::vector<std::string> candidates_;
  std::map<std::string, CoordinatorState> states_;
  // Requests that wait at a coordinator, by their id.
  std::unordered_map<std::uint64_t, Pending> pending_;
  std::unordered_map<std::uint64_t, std::uint64_t> id_by_ticket_;
  std::uint64_t next_ticket_ = 1;
  // Granted and not yet returned by Place().
  std::vector<Placement> placements_;
  std::vector<Rejection> rejections_;
  struct TimedResult {
    UpstreamResult result;
    MonotonicTime at;
  };
  std::deque<TimedResult> results_;
  std::uint64_t result_count_ = 0;
  std::set<std::string> urgent_;
  // Until then, there may be upstreams that have asked this host for a pause.
  MonotonicTime held_back_until_;
  bool is_draining_ = false;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_COORDINATION_PLACER_H_
