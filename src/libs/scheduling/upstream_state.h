#ifndef FLAMINGOGAUGE_LIBS_SCHEDULING_UPSTREAM_STATE_H_
#define FLAMINGOGAUGE_LIBS_SCHEDULING_UPSTREAM_STATE_H_

#include <cstdint>
#include <deque>

#include "libs/kernel/time.h"
#include "libs/model/upstream_health.h"
#include "libs/scheduling/group_types.h"
#include "libs/scheduling/rate_estimator.h"

namespace flamingogauge {

// What a scheduler believes about one upstream.
class UpstreamState {
 public:
  explicit UpstreamState(GroupUpstream upstream_config)
      : config(std::move(upstream_config)) {}

  // Accounts for a dispatch and its end. `prefill` is in seconds.
  void OnDispatched(MonotonicTime now,
                    std::uint64_t tokens,
                    bool is_long,
                    double prefill);
  void OnEnded(MonotonicTime now, std::uint64_t tokens, bool is_long);

  // Compares a report with what this scheduler had in flight when the report
  // was measured; the difference is load of other origin.
  void OnLoad(MonotonicTime now, const LoadReport& report);

  // Seconds until the prompts that are already there are computed.
  double PrefillBacklog(MonotonicTime now) const;

  // Requests and tokens that run there, with those of other origin.
  std::uint32_t Running() const { return in_flight_ + foreign_running_; }
  std::uint64_t Tokens() const { return tokens_ + foreign_tokens_; }
  std::uint32_t in_flight() const { return in_flight_; }
  std::uint32_t ShortInFlight() const { return in_flight_ - long_in_flight_; }
  std::uint32_t long_in_flight() const { return long_in_flight_; }
  // 0 while it is unknown.
  std::uint64_t Capacity() const {
    return config.token_capacity > 0 ? config.token_capacity
                                     : reported_capacity_;
  }

  GroupUpstream config;
  RateEstimator rates;
  // True when the document no longer lists it; it waits for its last permits.
  bool removed = false;

 private:
  struct Snapshot {
    MonotonicTime time;
    std::uint32_t in_flight;
    std::uint64_t tokens;
  };

  void Remember(MonotonicTime now);

  std::uint32_t in_flight_ = 0;
  std::uint32_t long_in_flight_ = 0;
  std::uint64_t tokens_ = 0;
  std::uint32_t foreign_running_ = 0;
  std::uint64_t foreign_tokens_ = 0;
  std::uint64_t reported_capacity_ = 0;
  MonotonicTime prefill_free_at_;
  // The newest last; enough for the oldest report that is still used.
  std::deque<Snapshot> history_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_SCHEDULING_UPSTREAM_STATE_H_
