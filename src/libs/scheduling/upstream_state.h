#ifndef FLAMINGOGAUGE_LIBS_SCHEDULING_UPSTREAM_STATE_H_
#define FLAMINGOGAUGE_LIBS_SCHEDULING_UPSTREAM_STATE_H_

#include <cstdint>
#include <deque>

#include "libs/kernel/time.h"
#include "libs/model/upstream_health.h"
#include "libs/scheduling/group_types.h"
#include "libs/scheduling/rate_estimator.h"

namespace flamingogauge {

// A scheduler's view of one upstream: its configuration, the estimated rates
// and the load.
class UpstreamState {
 public:
  explicit UpstreamState(GroupUpstream upstream_config)
      : config(std::move(upstream_config)) {}

  // Updates the load when a request is dispatched and when it ends. `prefill`
  // is the expected prefill time in seconds.
  void OnDispatched(MonotonicTime now,
                    std::uint64_t tokens,
                    bool is_long,
                    double prefill);
  void OnEnded(MonotonicTime now, std::uint64_t tokens, bool is_long);

  // Compares a load report with the requests that this scheduler had in flight
  // when the report was measured. The difference is external load, which other
  // schedulers or clients have dispatched.
  void OnLoad(MonotonicTime now, const LoadReport& report);

  // Returns the seconds until the prompts dispatched so far are prefilled.
  double PrefillBacklog(MonotonicTime now) const;

  // Running requests and their tokens, including external load.
  std::uint32_t Running() const { return in_flight_ + external_running_; }
  std::uint64_t Tokens() const { return tokens_ + external_tokens_; }
  std::uint32_t in_flight() const { return in_flight_; }
  std::uint32_t ShortInFlight() const { return in_flight_ - long_in_flight_; }
  std::uint32_t long_in_flight() const { return long_in_flight_; }
  // Returns the token capacity, configured or reported; 0 while it is unknown.
  std::uint64_t Capacity() const {
    return config.token_capacity > 0 ? config.token_capacity
                                     : reported_capacity_;
  }

  GroupUpstream config;
  RateEstimator rates;
  // True if the configuration no longer lists the upstream. It is kept because
  // permits on it may still be in use.
  bool removed = false;

 private:
  struct Snapshot {
    MonotonicTime time;
    std::uint32_t in_flight;
    std::uint64_t tokens;
  };

  void RecordSnapshot(MonotonicTime now);

  std::uint32_t in_flight_ = 0;
  std::uint32_t long_in_flight_ = 0;
  std::uint64_t tokens_ = 0;
  std::uint32_t external_running_ = 0;
  std::uint64_t external_tokens_ = 0;
  std::uint64_t reported_capacity_ = 0;
  MonotonicTime prefill_free_at_;
  // Snapshots of the load, oldest first. Reports older than the first one are
  // ignored.
  std::deque<Snapshot> history_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_SCHEDULING_UPSTREAM_STATE_H_
