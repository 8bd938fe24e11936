#ifndef FLAMINGOGAUGE_TOOLS_LOAD_LOAD_RUNNER_H_
#define FLAMINGOGAUGE_TOOLS_LOAD_LOAD_RUNNER_H_

#include <cstdint>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "plugins/upstreams/simple_exchange.h"
#include "tools/load/load_request.h"

namespace flamingogauge {

// Results of a run.
struct LoadSummary {
  std::vector<LoadResult> results;
  // Requests that were not sent because max_open others were in flight.
  std::uint64_t not_sent = 0;
  // Longest delay between the planned and the actual start of a request.
  std::chrono::nanoseconds longest_start_delay{0};
  // Repeated executions of bookings and prompts, and the total executions, as
  // counted by the fake upstreams.
  std::uint64_t duplicate_bookings = 0;
  std::uint64_t duplicate_prompts = 0;
  std::uint64_t bookings_executed = 0;
  std::uint64_t prompts_executed = 0;
  bool counts_complete = true;
};

// Open-loop load generator: each request starts at its planned time, regardless
// of how long earlier requests take.
class LoadRunner {
 public:
  explicit LoadRunner(const LoadOptions& options);
  ~LoadRunner();

  // Blocks until the run has finished. Must be called only once.
  LoadSummary Run();

 private:
  void ScheduleNext();
  void SendNext();
  void Send(const PlannedRequest& planned, bool resend);
  void OnRequestFinished(LoadRequest* request, LoadResult result);
  void RequestExecutionCounts();
  void RequestExecutionCount(const std::string& address,
                             const std::string& group);
  void AddCounts(const SimpleExchange::Outcome& outcome,
                 const std::string& group);
  void FinishIfDone();

  const LoadOptions options_;
  Workload workload_;
  std::promise<void> finished_;
  LoadSummary summary_;
  MonotonicTime start_;
  PlannedRequest next_;
  bool all_sent_ = false;
  bool counts_requested_ = false;
  std::size_t pending_resends_ = 0;
  std::uint64_t sent_ = 0;
  std::unordered_map<LoadRequest*, std::unique_ptr<LoadRequest>> open_requests_;
  std::vector<std::unique_ptr<SimpleExchange>> exchanges_;
  std::size_t pending_counts_ = 0;
  // Executions by group ("by_key" or "by_fingerprint") and name.
  std::map<std::string, std::map<std::string, std::uint64_t>> executions_;
  // Declared last so that its thread stops before the other members are
  // destroyed.
  CurlLoop loop_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TOOLS_LOAD_LOAD_RUNNER_H_
