#ifndef FLAMINGOGAUGE_TESTS_AUTO_MEMBERSHIP_MEMBERSHIP_NETWORK_H_
#define FLAMINGOGAUGE_TESTS_AUTO_MEMBERSHIP_MEMBERSHIP_NETWORK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "libs/kernel/random.h"
#include "libs/membership/membership.h"

namespace flamingogauge {

// Fault rates of the simulated network.
struct NetworkFaults {
  double loss = 0;
  double duplication = 0;
  std::chrono::microseconds max_extra_delay{0};
};

// Simulates Membership instances in virtual time on a network with faults.
class MembershipNetwork {
 public:
  struct Host {
    Member self;
    std::unique_ptr<Membership> membership;
    // Hosts with different partition numbers cannot reach each other.
    int partition = 0;
    MonotonicTime paused_until;
    std::uint64_t starts = 0;
    std::uint64_t messages_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
  };
  // Returns the encoded size of a message; set by the tools in
  // tools/membership.
  using SizeFunction = std::function<std::size_t(const Heartbeat&)>;

  explicit MembershipNetwork(std::uint64_t seed,
                             MembershipOptions options = {});

  // Adds a stopped host named "<data centre>-<number>" and returns its index.
  std::size_t AddHost(const std::string& data_centre,
                      const std::string& region);
  // Starts or restarts a host as a new incarnation, with its wall clock off by
  // `clock_error`.
  void Start(
      std::size_t host,
      std::chrono::milliseconds clock_error = std::chrono::milliseconds(0));
  void Stop(std::size_t host);
  void Pause(std::size_t host, std::chrono::milliseconds duration);
  void RunFor(std::chrono::milliseconds duration);

  Host& host(std::size_t n) { return hosts_[n]; }
  std::size_t size() const { return hosts_.size(); }
  MonotonicTime now() const { return now_; }
  NetworkFaults& faults() { return faults_; }
  Random& random() { return random_; }
  void set_size_function(SizeFunction size) { size_ = std::move(size); }
  std::uint64_t events() const { return events_; }
  // Called with a host after each of its ticks.
  std::function<void(Host&)> after_tick;

  // State of the current incarnation of `other` in the view of `viewer`; kDead
  // if it is not listed.
  MemberState StateIn(std::size_t viewer, std::size_t other) const;
  // Returns true if every running host sees exactly the running hosts as alive.
  bool IsConverged() const;

 private:
  struct Event {
    MonotonicTime at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::pair(other.at, other.order) < std::pair(at, order);
    }
  };

  void Schedule(Duration delay, std::function<void()> run);
  void ScheduleTick(std::size_t n, std::uint64_t start, Duration delay);
  void Tick(std::size_t n, std::uint64_t start);
  // Delivers the message after the delay of the path. May drop or duplicate it,
  // depending on the faults.
  void Send(std::size_t from,
            std::size_t to,
            const Heartbeat& message,
            const std::function<void()>& deliver);
  void Deliver(std::size_t from, std::size_t to, const Heartbeat& request);
  bool CanReach(std::size_t from, std::size_t to) const;

  MembershipOptions options_;
  Random random_;
  NetworkFaults faults_;
  SizeFunction size_;
  std::vector<Host> hosts_;
  std::map<std::string, std::size_t> by_address_;
  std::priority_queue<Event> events_queue_;
  MonotonicTime now_{std::chrono::hours(1)};
  std::uint64_t order_ = 0;
  std::uint64_t events_ = 0;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_AUTO_MEMBERSHIP_MEMBERSHIP_NETWORK_H_
