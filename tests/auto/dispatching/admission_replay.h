#ifndef FLAMINGOGAUGE_TESTS_AUTO_DISPATCHING_ADMISSION_REPLAY_H_
#define FLAMINGOGAUGE_TESTS_AUTO_DISPATCHING_ADMISSION_REPLAY_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libs/dispatching/dispatcher.h"
#include "libs/kernel/random.h"

namespace flamingogauge {

// A kind of request and the rate at which callers send it.
struct ReplayKind {
  int priority = 0;
  double per_second = 0;
  std::chrono::milliseconds target{500};
  // Callers disconnect if a response has not begun after this time.
  std::chrono::milliseconds patience{2400};
  std::chrono::milliseconds time_limit{10000};
  double prompt_tokens = 600;
  // The median number of output tokens. Outputs are spread log-normally by
  // `output_sigma`.
  double output_tokens = 270;
  double output_sigma = 0;
  double worth = 1;
  double late_worth = 0.1;
};

// Multiplies the rate of one kind, or of one workspace, for a while.
struct ReplaySurge {
  // An index into the kinds; -1 for all.
  int kind = -1;
  // An index of a workspace; -1 for all.
  int workspace = -1;
  std::chrono::milliseconds from{0};
  std::chrono::milliseconds until{0};
  double factor = 1;
};

struct ReplayOptions {
  std::vector<ReplayKind> kinds;
  std::vector<ReplaySurge> surges;
  int upstreams = 12;
  int slots = 7;
  int workspaces = 8;
  std::chrono::milliseconds length{12000};
  // A part of the upstreams is silent for a while.
  double dark_share = 0;
  std::chrono::milliseconds dark_from{0};
  std::chrono::milliseconds dark_until{0};
  // The part of the callers that repeat a refused request at once, three times,
  // and not as they are told.
  double abusive_share = 0;
  std::uint64_t seed = 1;
};

// What became of a group of requests. Each request counts once, by its last
// attempt.
struct ReplayOutcome {
  int owed = 0;
  int on_time = 0;
  int late = 0;
  // Refused, and refused again after its caller returned as it was told.
  int refused = 0;
  int refused_again = 0;
  // Callers that disconnected before the response began.
  int left = 0;
  double worth_owed = 0;
  double worth_earned = 0;

  double served_share() const {
    return owed == 0 ? 1 : static_cast<double>(on_time + late) / owed;
  }
  double on_time_share() const {
    return owed == 0 ? 1 : static_cast<double>(on_time) / owed;
  }
  double worth_share() const {
    return worth_owed == 0 ? 1 : worth_earned / worth_owed;
  }
};

// Runs a Dispatcher in virtual time against engines that slow down with each
// request that they run, and callers that return once when refused.
class AdmissionReplay {
 public:
  explicit AdmissionReplay(ReplayOptions options);
  AdmissionReplay(const AdmissionReplay&) = delete;
  AdmissionReplay& operator=(const AdmissionReplay&) = delete;

  void Run();

  // Sums over the requests whose first attempt was made within [from, until).
  // Negative indices stand for all kinds or workspaces.
  ReplayOutcome Sum(std::chrono::milliseconds from,
                    std::chrono::milliseconds until,
                    int kind = -1,
                    int workspace = -1) const;
  // The same for the requests of a kind whose output is between two quantiles
  // of its kind.
  ReplayOutcome SumBySize(int kind,
                          double lower_quantile,
                          double upper_quantile) const;
  // The longest time that a refused request had waited.
  std::chrono::milliseconds longest_refused_wait() const {
    return longest_refused_wait_;
  }
  // The largest number of refused callers that were told to return within the
  // same 100 ms.
  int most_returns_together() const;

 private:
  enum class Fate { kOpen, kOnTime, kLate, kRefused, kRefusedAgain, kLeft };
  // A caller's request over all its attempts.
  struct Call {
    int kind = 0;
    int workspace = 0;
    double output_tokens = 0;
    MonotonicTime first_attempt;
    MonotonicTime due_at;
    MonotonicTime deadline;
    bool is_abusive = false;
    int attempts = 0;
    Fate fate = Fate::kOpen;
  };
  struct Execution {
    std::uint64_t call = 0;
    std::string upstream;
    MonotonicTime first_event_at;
    MonotonicTime ends_at;
    std::chrono::duration<double> event_interval{0};
  };

  double Factor(int kind, int workspace) const;
  bool IsDark(const std::string& upstream) const;
  void Arrive();
  void Attempt(std::uint64_t call);
  void ReturnCallers();
  void EndExecutions();
  void LeaveImpatient();
  void Place();
  void Start(std::uint64_t call, const std::string& upstream);
  void OnRefused(std::uint64_t call, const Rejection& rejection);
  void Add(const Call& call, ReplayOutcome& sum) const;

  const ReplayOptions options_;
  Random random_;
  Dispatcher dispatcher_;
  MonotonicTime now_;
  std::vector<Call> calls_;
  // Calls by the id of their waiting attempt.
  std::map<std::uint64_t, std::uint64_t> waiting_;
  std::map<std::uint64_t, MonotonicTime> waiting_since_;
  std::uint64_t next_attempt_ = 1;
  std::vector<Execution> executions_;
  std::map<std::string, int> running_;
  std::multimap<MonotonicTime, std::uint64_t> returns_;
  std::map<std::int64_t, int> returns_by_tenth_;
  std::chrono::milliseconds longest_refused_wait_{0};
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_AUTO_DISPATCHING_ADMISSION_REPLAY_H_
