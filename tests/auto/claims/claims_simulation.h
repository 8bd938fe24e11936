#ifndef FLAMINGOGAUGE_TESTS_AUTO_CLAIMS_CLAIMS_SIMULATION_H_
#define FLAMINGOGAUGE_TESTS_AUTO_CLAIMS_CLAIMS_SIMULATION_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libs/claims/claim_attempt.h"
#include "libs/kernel/random.h"

namespace flamingogauge {

// Statistics and violations of one randomised run.
struct ClaimsRunResult {
  std::uint64_t events = 0;
  std::uint64_t executions = 0;
  std::uint64_t not_run_answers = 0;
  std::uint64_t recorded_answers = 0;
  std::uint64_t unknown_answers = 0;
  // Descriptions of violated guarantees.
  std::vector<std::string> violations;
};

// Simulates several hosts that run attempts for a few keys against a store in
// virtual time. The store delays operations, loses responses of applied writes,
// applies writes after they were reported as unknown, and has outages; hosts
// pause and crash; callers resend requests to other hosts. The simulation
// records what was executed and compares it with what callers were told.
class ClaimsSimulation {
 public:
  explicit ClaimsSimulation(std::uint64_t seed);

  // Runs until `events` events have been handled or a guarantee is violated.
  ClaimsRunResult Run(std::uint64_t events);

 private:
  struct Attempt {
    std::uint64_t id = 0;
    std::size_t key = 0;
    std::size_t host = 0;
    MonotonicTime started;
    MonotonicTime deadline;
    std::unique_ptr<ClaimAttempt> machine;
    bool released_by_host = false;
    bool executed = false;
    bool reported_not_run = false;
    MonotonicTime dispatch_until;
  };
  struct Host {
    Incarnation incarnation;
    // Results are delivered after this time.
    MonotonicTime paused_until;
    std::map<std::uint64_t, Attempt> attempts;
  };
  struct Key {
    std::optional<VersionedClaim> stored;
    // Executions at the time of the newest release.
    int executions_at_release = 0;
    int executions = 0;
    std::string outcome;
  };
  struct Scheduled {
    MonotonicTime at;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator>(const Scheduled& other) const;
  };

  void At(Duration delay, std::function<void()> action);
  // Runs `action` on a host, after any pause, unless the host has crashed.
  void OnHost(std::size_t host, Duration delay, std::function<void()> action);
  Duration RandomDelay();
  bool StoreIsDown() const { return now_ < outage_until_; }
  void Violation(const std::string& text);

  void SubmitRequest();
  void InjectFault();
  void CarryOut(std::size_t host,
                std::uint64_t id,
                const ClaimAttempt::Actions& actions);
  void CarryOutOne(std::size_t host,
                   std::uint64_t id,
                   const ClaimAction& action);
  void Write(std::size_t host,
             std::uint64_t id,
             const ClaimRecord& record,
             std::optional<std::uint64_t> expected_version);
  StoreWriteResult Apply(std::size_t key,
                         const ClaimRecord& record,
                         std::optional<std::uint64_t> expected_version);
  void ReadKey(std::size_t host, std::uint64_t id);
  void OnAnswer(std::size_t host, std::uint64_t id, const ClaimAnswer& answer);
  void UseClaim(std::size_t host, std::uint64_t id);
  void Execute(std::size_t host, std::uint64_t id);
  void OnReleased(std::size_t host, std::uint64_t id, bool confirmed);
  void ScheduleTimeout(std::size_t host, std::uint64_t id);
  bool OwnerAlive(const Incarnation& owner) const;
  Attempt* Find(std::size_t host, std::uint64_t id);

  Random random_;
  MonotonicTime now_{std::chrono::hours(1)};
  std::uint64_t next_order_ = 0;
  std::uint64_t next_id_ = 1;
  std::uint64_t next_version_ = 1;
  MonotonicTime outage_until_{};
  std::vector<Host> hosts_;
  std::vector<Key> keys_;
  std::vector<Scheduled> queue_;
  ClaimsRunResult result_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_AUTO_CLAIMS_CLAIMS_SIMULATION_H_
