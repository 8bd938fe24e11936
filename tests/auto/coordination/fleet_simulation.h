#ifndef FLAMINGOGAUGE_TESTS_AUTO_COORDINATION_FLEET_SIMULATION_H_
#define FLAMINGOGAUGE_TESTS_AUTO_COORDINATION_FLEET_SIMULATION_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libs/coordination/coordinator.h"
#include "libs/coordination/placer.h"
#include "libs/kernel/random.h"

namespace flamingogauge {

struct FleetSimulationOptions {
  int data_centres = 1;
  int hosts_per_data_centre = 4;
  int upstreams_per_data_centre = 4;
  int slots = 4;
  // Upstreams and requests belong to these in turn.
  int services = 1;
  std::uint64_t seed = 1;
  // Probability that a message between two hosts is lost.
  double loss = 0;
  // Longest delay of a message between two hosts.
  std::chrono::milliseconds max_delay{2};
  // How long an upstream executes a request, at most; half of it at least.
  std::chrono::milliseconds max_execution{400};
  // The time within which the response should start.
  std::chrono::milliseconds target{500};
};

// Hosts with their placers and coordinators, the messages between them, and
// upstreams that execute what they are sent, in virtual time. Each host runs
// the same steps as in the gateway.
class FleetSimulation {
 public:
  explicit FleetSimulation(FleetSimulationOptions options);
  FleetSimulation(const FleetSimulation&) = delete;
  FleetSimulation& operator=(const FleetSimulation&) = delete;

  // Submits a request at a host; returns its id. It is lost if the host is
  // down.
  std::uint64_t Submit(int host);
  // The caller of a request disconnects. A paused host notices it after the
  // messages that wait for it.
  void Cancel(std::uint64_t request);
  void Kill(int host);
  void Start(int host);
  // Pauses the process of a host; messages wait for it meanwhile.
  void Freeze(int host, std::chrono::milliseconds time);
  // Sets whether messages between two data centres are lost.
  void SetPartitioned(bool partitioned);
  void SetLoss(double loss) { options_.loss = loss; }
  void Drain(int host);
  // From now on, the responses of an upstream state that it takes so many
  // requests per second from all hosts together, or any number.
  void StateRateLimit(const std::string& upstream,
                      std::optional<double> requests_per_second);
  const std::vector<UpstreamEntry>& upstreams() const { return upstreams_; }

  // Advances the time by one millisecond.
  void Step();
  void Run(std::chrono::milliseconds time);

  int host_count() const { return static_cast<int>(hosts_.size()); }
  std::string HostName(int host) const;
  // The host that acts as coordinator for `host`; empty if it places its own
  // requests.
  std::string CoordinatorOf(int host) const;
  int IndexOf(const std::string& name) const;

  int placed() const { return placed_; }
  int refused() const { return refused_; }
  // Requests that a host gave two placements.
  int placed_twice() const { return placed_twice_; }
  // Requests that a host sent to an upstream of another service.
  int misplaced() const { return misplaced_; }
  // Requests whose host is up and that have neither been placed nor refused.
  int open() const;
  // The longest time between the arrival of a request and its placement or
  // refusal.
  std::chrono::milliseconds longest_wait() const { return longest_wait_; }
  // The largest number of requests that an upstream executed at a time, over
  // its slots.
  int largest_excess() const { return largest_excess_; }
  // Requests that an upstream received in the last `time` from hosts that have
  // passed on, half a second before or earlier, a response that states its
  // limit. Those of hosts that were restarted, paused or cut off in the last
  // four seconds are left out.
  int SentDespiteLimit(const std::string& upstream,
                       std::chrono::milliseconds time) const;
  // All requests that an upstream received in the last `time`.
  int Sent(const std::string& upstream, std::chrono::milliseconds time) const;
  // The number of messages between hosts.
  std::uint64_t messages() const { return messages_; }
  // Requests that are executed now.
  int executing() const;
  // Places at upstreams that hosts and coordinators count as taken.
  int places_taken() const;
  // The number of requests submitted.
  std::uint64_t submitted() const { return next_request_ - 1; }

 private:
  struct Host {
    std::string name;
    std::string data_centre;
    std::uint64_t process = 0;
    std::uint64_t sequence = 0;
    std::unique_ptr<Placer> placer;
    std::unique_ptr<Coordinator> coordinator;
    bool is_up = false;
    bool is_draining = false;
    MonotonicTime frozen_until;
    MonotonicTime active_at;
    std::vector<std::function<void()>> held_messages;
    std::vector<std::uint64_t> left_callers;
    // When it was last restarted, paused or cut off.
    std::optional<MonotonicTime> disturbed_at;
    // When it first passed on a response that states a limit, by upstream.
    std::map<std::string, MonotonicTime> told_at;
  };
  enum class Outcome { kOpen, kPlaced, kRefused, kLost };
  struct Request {
    int host = 0;
    std::string service;
    MonotonicTime arrived_at;
    Outcome outcome = Outcome::kOpen;
  };
  struct Execution {
    int host = 0;
    std::uint64_t process = 0;
    std::string upstream;
    std::uint64_t request = 0;
  };
  struct Arrival {
    MonotonicTime at;
    bool is_despite_limit = false;
  };

  void StepHost(int index);
  void RemoveLeftCallers(Host& host);
  void SendState(int index, const std::string& coordinator);
  void RunCoordinator(int index);
  void SendSummaries(int index);
  void SendReport(int index);
  void TakePlacements(int index);
  // Has the upstream respond to a request that `host` has just sent to it.
  void Respond(Host& host, const std::string& upstream);
  bool IsDisturbed(const Host& host) const;
  std::string ServiceOf(std::uint64_t number) const;
  // Delivers a message after a random delay, unless it is lost, to the process
  // that runs at the host by then.
  void Deliver(int from, int to, std::function<void(Host&)> message);
  void EndExecutions();
  void Close(std::uint64_t request, Outcome outcome);

  FleetSimulationOptions options_;
  Random random_;
  MonotonicTime now_{std::chrono::hours(1)};
  std::vector<HostEntry> entries_;
  std::vector<UpstreamEntry> upstreams_;
  std::vector<Host> hosts_;
  std::multimap<MonotonicTime, std::function<void()>> messages_in_transit_;
  std::multimap<MonotonicTime, Execution> executions_;
  std::map<std::string, int> running_;
  // By upstream.
  std::map<std::string, double> rate_limits_;
  std::map<std::string, std::vector<Arrival>> arrivals_;
  std::map<std::uint64_t, Request> requests_;
  std::uint64_t next_request_ = 1;
  std::uint64_t next_process_ = 1;
  bool partitioned_ = false;
  int placed_ = 0;
  int refused_ = 0;
  int placed_twice_ = 0;
  int misplaced_ = 0;
  int largest_excess_ = 0;
  std::uint64_t messages_ = 0;
  std::chrono::milliseconds longest_wait_{0};
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_AUTO_COORDINATION_FLEET_SIMULATION_H_
