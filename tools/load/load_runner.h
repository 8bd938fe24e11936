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

// What a run found.
struct LoadSummary {
  std::vector<LoadResult> results;
  // Requests that were due while max_open others were in flight.
  std::uint64_t not_sent = 0;
  // The longest delay between a planned and the real start.
  std::chrono::nanoseconds longest_start_delay{0};
  // Bookings and prompts that were executed more than once, and all
  // executions, as counted by the fakes.
  std::uint64_t duplicate_bookings = 0;
  std::uint64_t duplicate_prompts = 0;
  std::uint64_t bookings_executed = 0;
  std::uint64_t prompts_executed = 0;
  bool counts_complete = true;
};

// Sends the workload in an open loop: each request starts at its planned time,
// however slow the answers to earlier ones are.
class LoadRunner {
 public:
  explicit LoadRunner(const LoadOptions& options);
  ~LoadRunner();

  // Runs to the end and returns the summary; call once.
  LoadSummary Run();

 private:
  void ScheduleNext();
  void SendDue();
  void Send(const PlannedRequest& planned, bool resend);
  void OnEnd(LoadRequest* request, LoadResult result);
  void ReadCounts();
  void ReadCount(const std::string& address, const std::string& group);
  void TakeCount(const SimpleExchange::Outcome& outcome,
                 const std::string& group);
  void FinishIfDone();

  const LoadOptions options_;
  Workload workload_;
  std::promise<void> finished_;
  LoadSummary summary_;
  MonotonicTime start_;
  PlannedRequest next_;
  bool all_sent_ = false;
  bool counting_ = false;
  std::size_t resends_waiting_ = 0;
  std::uint64_t sent_ = 0;
  std::unordered_map<LoadRequest*, std::unique_ptr<LoadRequest>> open_;
  std::vector<std::unique_ptr<SimpleExchange>> exchanges_;
  std::size_t counts_waiting_ = 0;
  // Executions by group ("by_key" or "by_fingerprint") and name.
  std::map<std::string, std::map<std::string, std::uint64_t>> executions_;
  // Last, so that its thread ends before the other members.
  CurlLoop loop_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TOOLS_LOAD_LOAD_RUNNER_H_
