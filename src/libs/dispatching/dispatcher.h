#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_DISPATCHER_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_DISPATCHER_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "libs/dispatching/upstream_view.h"
#include "libs/dispatching/waiting_request.h"
#include "libs/fleet/upstream_entry.h"
#include "libs/kernel/random.h"

namespace flamingogauge {

struct DispatcherOptions {
  std::string data_centre;
  // The region of each data centre.
  std::map<std::string, std::string> regions;
  // Output tokens in one event of a stream.
  double tokens_per_event = 6;
  std::uint64_t seed = 1;
};

// Tells the caller to send a request to an upstream.
struct Placement {
  std::uint64_t request = 0;
  UpstreamEntry upstream;
};

// Tells the caller to refuse a request that has not been sent.
struct Rejection {
  std::uint64_t request = 0;
  std::chrono::milliseconds retry_after{0};
  std::string reason;
};

// Decides for one host which request waits, which one is sent to which upstream
// and which one is refused. Each host decides alone, on what it runs itself and
// what other hosts have reported; it never waits for another host.
class Dispatcher {
 public:
  explicit Dispatcher(DispatcherOptions options);

  // Replaces the region of each data centre.
  void SetRegions(std::map<std::string, std::string> regions) {
    options_.regions = std::move(regions);
  }

  // For how long the newest report of a host counts.
  void SetReportLifetime(std::chrono::milliseconds lifetime) {
    report_lifetime_ = lifetime;
  }

  // Replaces the list of upstreams. Those that are gone get nothing more; what
  // runs there goes on.
  void SetUpstreams(const std::vector<UpstreamEntry>& upstreams,
                    MonotonicTime now);

  // What another host runs, by PeerUpstreamKey. Replaces its earlier report.
  void OnPeerLoad(const std::string& host,
                  const std::map<std::uint64_t, int>& running,
                  MonotonicTime now);

  void Enqueue(WaitingRequest request);
  // The caller left, or the request is no longer wanted.
  void Remove(std::uint64_t request);

  // Places what can be placed now; each placement counts as sent.
  std::vector<Placement> Place(MonotonicTime now);
  // Takes out what would wait too long. Call after each Place, so that a
  // request is refused on arrival rather than after a wait in vain.
  std::vector<Rejection> Reject(MonotonicTime now);

  HealthChange OnEnded(const std::string& upstream,
                       DispatchResult result,
                       MonotonicTime now);
  void OnEventInterval(const std::string& upstream,
                       std::chrono::duration<double> pace);

  bool HasAnyUpstream() const;
  std::size_t waiting_count() const { return waiting_.size(); }
  // Requests of this host by PeerUpstreamKey, for the report to other hosts.
  std::map<std::uint64_t, int> OwnLoad() const;
  const std::map<std::string, UpstreamView>& upstreams() const {
    return upstreams_;
  }

 private:
  struct PeerReport {
    MonotonicTime received_at;
    std::map<std::uint64_t, int> running;
  };

  // Arrivals and placements of one service in the last seconds.
  struct Throughput {
    // Requests that could be on time when they arrived.
    std::deque<MonotonicTime> arrived_at;
    std::deque<MonotonicTime> placed_at;
  };

  void IndexUpstreams();
  // Adds `sign` times what a host reported to the load of the upstreams.
  void CountPeerLoad(const std::map<std::uint64_t, int>& running, int sign);
  void ForgetSilentPeers(MonotonicTime now);
  static double PerSecond(std::deque<MonotonicTime>& times, MonotonicTime now);
  // How long a request at `position` of its service will wait. A late one also
  // waits for those that arrive meanwhile and can be on time.
  Duration ExpectedWait(const std::string& service,
                        bool is_late,
                        double position,
                        MonotonicTime now);
  std::optional<Rejection> Assess(const WaitingRequest& request,
                                  bool is_new,
                                  double position,
                                  MonotonicTime now);
  std::vector<WaitingRequest*> WaitingInOrder(MonotonicTime now);
  UpstreamView* Choose(const WaitingRequest& request, MonotonicTime now);
  UpstreamView* ChooseAmong(const std::vector<UpstreamView*>& upstreams,
                            const WaitingRequest& request,
                            MonotonicTime now) const;
  // The expected cost of a placement in seconds. `mean_pace` is that of the
  // service.
  double Cost(const UpstreamView& upstream,
              const WaitingRequest& request,
              double mean_pace,
              MonotonicTime now) const;
  double DistanceCost(const UpstreamEntry& upstream) const;
  // Seconds that the output takes there, by the caller's estimate.
  double OutputSeconds(const UpstreamView& upstream,
                       const WaitingRequest& request,
                       double mean_pace) const;

  DispatcherOptions options_;
  mutable Random random_;
  std::map<std::string, UpstreamView> upstreams_;
  // Point into `upstreams_`.
  std::unordered_map<std::string, std::vector<UpstreamView*>> by_service_;
  std::unordered_map<std::uint64_t, UpstreamView*> by_peer_key_;
  std::map<std::string, PeerReport> peers_;
  std::chrono::milliseconds report_lifetime_{1500};
  // The sum of `peers_`, by PeerUpstreamKey.
  std::unordered_map<std::uint64_t, int> peer_running_;
  std::unordered_map<std::uint64_t, WaitingRequest> waiting_;
  // Waiting requests that Reject has looked at.
  std::unordered_set<std::uint64_t> assessed_;
  std::map<std::string, Throughput> throughput_;
};

// The short name of an upstream's process in reports between hosts.
std::uint64_t PeerUpstreamKey(const std::string& upstream);

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_DISPATCHER_H_
