#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_UPSTREAM_VIEW_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_UPSTREAM_VIEW_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "libs/dispatching/upstream_pace.h"
#include "libs/dispatching/upstream_rate_limit.h"
#include "libs/dispatching/waiting_request.h"
#include "libs/fleet/upstream_entry.h"
#include "libs/kernel/time.h"

namespace flamingogauge {

// Result of a request that was sent to an upstream.
enum class DispatchResult {
  kServed,
  // The upstream responded that it did not execute the request.
  kRefused,
  // The upstream responded with an internal error.
  kFailed,
  // Connection failure, reset, timeout or malformed response.
  kTransportError,
  // A different process responded at the upstream's address.
  kReplaced,
  // The caller disconnected or the time limit passed; does not affect the
  // health of the upstream.
  kAbandoned,
  // The upstream stated in a response that it shuts down.
  kLeaving,
};

// Change of a host's assessment of an upstream after a request.
enum class HealthChange {
  kNone,
  // A request failed with a transport error; the upstream is avoided for a
  // while.
  kSuspected,
  // The upstream served a request after it had been suspect.
  kRecovered,
  // A different process responds at its address.
  kReplaced,
  // It shuts down and gets no further requests.
  kLeaving,
};

// A change of the number of requests that an upstream gets at a time.
struct PaceChange {
  std::string upstream;
  int from = 0;
  int to = 0;
  int slots = 0;
  PaceCause cause = PaceCause::kListed;
};

// One host's view of an upstream: its directory entry, its load and the results
// of recent requests.
class UpstreamView {
 public:
  explicit UpstreamView(UpstreamEntry entry, UpstreamPaceOptions options = {})
      : entry_(std::move(entry)),
        pace_(options, entry_.slots),
        noted_pace_(entry_.slots) {}

  const UpstreamEntry& entry() const { return entry_; }
  // Updates the entry; it must belong to the same process.
  void SetEntry(UpstreamEntry entry);

  // Maximum number of concurrent requests over all hosts: its pace, or 0 for
  // one that has been replaced or shuts down.
  int Limit(MonotonicTime now) const;
  const UpstreamPace& pace() const { return pace_; }
  // Returns how the pace has changed since the last call, if it has.
  std::optional<PaceChange> TakePaceChange();
  // Its process has just started.
  void OnStarted(MonotonicTime now) { pace_.OnStarted(now); }

  // Requests in progress there from this host and, as last reported, from other
  // hosts.
  int running() const { return own_running_ + peer_running_; }
  int own_running() const { return own_running_; }
  void SetPeerRunning(int running) { peer_running_ = running; }

  void OnSent(const WaitingRequest& request, MonotonicTime now);
  // The requests of this host that the reports of others may not show yet,
  // weighted by their age.
  double RecentSends(MonotonicTime now) const;
  HealthChange OnEnded(DispatchResult result, MonotonicTime now);
  // Ends a request of this host without a result.
  void Release();
  // Updates the health by the result of a request of this or another host.
  HealthChange RecordResult(DispatchResult result, MonotonicTime now);
  // An answer of this or another host began `took` after its request was sent.
  // `is_on_time` says whether that is as promised, `ratio` how much longer it
  // took than on an upstream of normal speed.
  void OnAnswer(bool is_on_time,
                Duration took,
                double ratio,
                MonotonicTime now);
  // How much longer its answers take to begin than on an upstream of normal
  // speed; 1 before the first one.
  double start_ratio() const { return start_ratio_; }
  // Another coordinator learned the pace `requests` from an answer at
  // `learned_at`.
  void OnPaceReport(double requests,
                    MonotonicTime learned_at,
                    MonotonicTime now);
  // `event_interval` is the time between two events of a stream, or the total
  // response time of a plain service.
  void OnEventInterval(std::chrono::duration<double> event_interval);

  UpstreamRateLimit& rate_limit() { return rate_limit_; }
  const UpstreamRateLimit& rate_limit() const { return rate_limit_; }
  // True if it can get one more request now.
  bool HasPlace(MonotonicTime now) const {
    return running() < Limit(now) && rate_limit_.AdmitsRequest(now);
  }
  // The requests that it can run at a time as long as nothing changes: its
  // limit, or what runs there if it states a limit on their rate.
  int Places(MonotonicTime now) const;

  // Sends it no request of this host until then, as it has asked for.
  void HoldBackUntil(MonotonicTime time) { held_back_until_ = time; }
  // False if it must not get a request of this host now, however few there are
  // that could.
  bool IsAvailable(MonotonicTime now) const {
    return !entry_.draining && Limit(now) > 0 && !IsHeldBack(now);
  }
  bool has_been_replaced() const { return replaced_; }
  bool is_leaving() const { return leaving_; }
  bool IsHeldBack(MonotonicTime now) const { return now < held_back_until_; }

  // A prompt that takes `time` to read was sent.
  void AddPrefill(Duration time, MonotonicTime now) {
    prefill_until_ = std::max(prefill_until_, now) + time;
  }
  // How long the prompts that were sent there keep a new one waiting.
  Duration PrefillBacklog(MonotonicTime now) const {
    return std::max(Duration::zero(), prefill_until_ - now);
  }

  // Estimated number of prompt tokens in the upstream's cache.
  double CachedTokens(const WaitingRequest& request, MonotonicTime now) const;

  // The share of recent requests that failed, 0 to 1.
  double FailureShare(MonotonicTime now) const;
  // True while the upstream is avoided after transport errors.
  bool IsSuspect(MonotonicTime now) const { return now < suspect_until_; }
  // How much longer the upstream is avoided; zero if it is not suspect.
  Duration RemainingSuspicion(MonotonicTime now) const {
    return IsSuspect(now) ? suspect_until_ - now : Duration::zero();
  }
  // Exponentially weighted moving average; 0 before the first measurement.
  double event_interval_seconds() const { return event_interval_seconds_; }

 private:
  void RemoveOldParts(MonotonicTime now);

  UpstreamEntry entry_;
  UpstreamPace pace_;
  UpstreamRateLimit rate_limit_;
  // The pace of the last TakePaceChange().
  int noted_pace_ = 0;
  int own_running_ = 0;
  int peer_running_ = 0;
  double recent_sends_ = 0;
  MonotonicTime last_sent_at_;
  int consecutive_transport_errors_ = 0;
  bool replaced_ = false;
  bool leaving_ = false;
  double failure_share_ = 0;
  MonotonicTime failure_updated_;
  MonotonicTime suspect_until_;
  MonotonicTime held_back_until_;
  double event_interval_seconds_ = 0;
  MonotonicTime prefill_until_;
  double start_ratio_ = 1;
  bool has_start_ratio_ = false;
  std::unordered_map<std::uint64_t, MonotonicTime> parts_seen_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_UPSTREAM_VIEW_H_
