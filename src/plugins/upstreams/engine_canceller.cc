#include "plugins/upstreams/engine_canceller.h"

#include <utility>

namespace flamingogauge {
namespace {

constexpr int kMaxAttempts = 3;
constexpr int kFirstError = 300;
constexpr int kNotFound = 404;
constexpr std::chrono::milliseconds kTimeLimit{2000};
constexpr std::chrono::milliseconds kRetryWait{300};

}  // namespace

void EngineCanceller::Cancel(const std::string& address,
                             const std::string& stream,
                             bool may_arrive_later) {
  if (jobs_.size() >= kMaxCancels) {
    ++counters_.engine_cancels_dropped;
    return;
  }
  ++counters_.engine_cancels;
  const std::uint64_t number = next_number_++;
  jobs_[number] = Job{.address = address,
                      .stream = stream,
                      .may_arrive_later = may_arrive_later};
  Send(number);
}

void EngineCanceller::Send(std::uint64_t number) {
  const auto it = jobs_.find(number);
  if (it == jobs_.end()) {
    return;
  }
  Job& job = it->second;
  ++job.attempts;
  // Uses a new connection, because pooled ones may have stalled.
  job.exchange = std::make_unique<SimpleExchange>(
      loop_,
      HttpTransferOptions{.method = "DELETE",
                          .address = job.address,
                          .path = "/v1/streams/" + job.stream,
                          .fresh_connection = true},
      kTimeLimit, [this, number](const SimpleExchange::Outcome& outcome) {
        OnOutcome(number, outcome);
      });
}

void EngineCanceller::OnOutcome(std::uint64_t number,
                                const SimpleExchange::Outcome& outcome) {
  Job& job = jobs_.at(number);
  const bool done = outcome.complete &&
                    (outcome.status < kFirstError ||
                     (outcome.status == kNotFound && !job.may_arrive_later));
  if (done || job.attempts >= kMaxAttempts) {
    jobs_.erase(number);
    return;
  }
  job.exchange.reset();
  loop_.Schedule(std::chrono::steady_clock::now() + kRetryWait,
                 [this, number] { Send(number); });
}

}  // namespace flamingogauge
