#ifndef FLAMINGOGAUGE_LIBS_DISPATCHING_UPSTREAM_VIEW_H_
#define FLAMINGOGAUGE_LIBS_DISPATCHING_UPSTREAM_VIEW_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <unordered_map>

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

// One host's view of an upstream: its directory entry, its load and the results
// of recent requests.
class UpstreamView {
 public:
  explicit UpstreamView(UpstreamEntry entry) : entry_(std::move(entry)) {}

  const UpstreamEntry& entry() const { return entry_; }
  // Updates the entry; it must belong to the same process.
  void SetEntry(UpstreamEntry entry) { entry_ = std::move(entry); }

  // Maximum number of concurrent requests over all hosts. It is 1 for an
  // upstream whose last requests failed with a transport error, and 0 for one
  // that has been replaced or shuts down.
  int Limit() const;

  // Requests in progress there from this host and, as last reported, from other
  // hosts.
  int running() const { return own_running_ + peer_running_; }
  int own_running() const { return own_running_; }
  void SetPeerRunning(int running) { peer_running_ = running; }

  void OnSent(const WaitingRequest& request, MonotonicTime now);
  HealthChange OnEnded(DispatchResult result, MonotonicTime now);
  // Ends a request of this host without a result.
  void Release();
  // Updates the health by the result of a request of this or another host.
  HealthChange RecordResult(DispatchResult result, MonotonicTime now);
  // `event_interval` is the time between two events of a stream, or the total
  // response time of a plain service.
  void OnEventInterval(std::chrono::duration<double> event_interval);

  // Sends it no request of this host until then, as it has asked for.
  void HoldBackUntil(MonotonicTime time) { held_back_until_ = time; }
  // False if it must not get a request of this host now, however few there are
  // that could.
  bool IsAvailable(MonotonicTime now) const {
    return !entry_.draining && Limit() > 0 && !IsHeldBack(now);
  }
  bool IsHeldBack(MonotonicTime now) const { return now < held_back_until_; }

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
  int own_running_ = 0;
  int peer_running_ = 0;
  int consecutive_transport_errors_ = 0;
  bool replaced_ = false;
  bool leaving_ = false;
  double failure_share_ = 0;
  MonotonicTime failure_updated_;
  MonotonicTime suspect_until_;
  MonotonicTime held_back_until_;
  double event_interval_seconds_ = 0;
  std::unordered_map<std::uint64_t, MonotonicTime> parts_seen_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_LIBS_DISPATCHING_UPSTREAM_VIEW_H_
